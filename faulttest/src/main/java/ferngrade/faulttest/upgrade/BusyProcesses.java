package ferngrade.faulttest.upgrade;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;

/**
 * Processes that use all processor time available to them, until they are closed or their duration
 * has elapsed.
 */
final class BusyProcesses implements AutoCloseable {
  private static final String LOOP = "my $end = time + shift; 1 while time < $end;";

  private final List<Process> processes = new ArrayList<>();

  /** Starts {@code count} processes, which end by themselves after {@code seconds}. */
  BusyProcesses(int count, int seconds) throws IOException {
    for (int i = 0; i < count; i++) {
      processes.add(
          new ProcessBuilder("perl", "-e", LOOP, Integer.toString(seconds))
              .redirectErrorStream(true)
              .start());
    }
  }

  /** Returns the number of processes started. */
  int count() {
    return processes.size();
  }

  @Override
  public void close() {
    processes.forEach(Process::destroyForcibly);
  }
}

package ferngrade.review;

import java.io.IOException;
import java.io.PrintWriter;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;

/** The record of one run: what was sent, answered and run, one event per line. Thread-safe. */
public final class RunRecord implements AutoCloseable {
  private final long startedAt = System.nanoTime();
  private final PrintWriter out;

  /** Creates the record in a new file, which replaces the record of an earlier run. */
  public RunRecord(Path file) throws IOException {
    out = new PrintWriter(Files.newBufferedWriter(file, StandardCharsets.UTF_8));
  }

  /** Writes one event with the time since the start of the run in ms. */
  public synchronized void line(String format, Object... arguments) {
    double millis = (System.nanoTime() - startedAt) / 1e6;
    out.printf("%10.1f %s%n", millis, String.format(format, arguments));
    out.flush();
  }

  @Override
  public synchronized void close() {
    out.close();
  }
}

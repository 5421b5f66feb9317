package ferngrade.cli;

import org.testng.annotations.Test;

/** The signal that asks for the configuration to be read anew. */
public class ReloadSignalTest {
  @Test(timeOut = 30_000)
  public void signalIsToldEachTimeAndDoesNotEndTheProgram() throws Exception {
    ReloadSignal hangup = ReloadSignal.caught();
    for (int time = 0; time < 2; time++) {
      String self = Long.toString(ProcessHandle.current().pid());
      new ProcessBuilder("kill", "-HUP", self).start().waitFor();
      hangup.await();
    }
  }
}

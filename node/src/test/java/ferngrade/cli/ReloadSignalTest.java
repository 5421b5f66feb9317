package ferngrade.cli;

import org.testng.annotations.Test;

/** Guards against a SIGHUP that is lost or ends the process instead of being reported. */
public class ReloadSignalTest {
  @Test(timeOut = 30_000)
  public void reportsEachSignalAndKeepsProcessRunning() throws Exception {
    ReloadSignal reloadSignal = ReloadSignal.install();
    for (int i = 0; i < 2; i++) {
      String pid = Long.toString(ProcessHandle.current().pid());
      new ProcessBuilder("kill", "-HUP", pid).start().waitFor();
      reloadSignal.await();
    }
  }
}

package ferngrade.server;

import static org.testng.Assert.assertEquals;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/**
 * Guards against a process that has stopped accepting jobs but is counted until it exits. During
 * upgrades the exit took 3.5 s, in which the new process had only half of the quota for warming-up
 * workers.
 */
public class LiveProcessesTest {
  private static final long OWN_PID = 1;
  private static final long EARLIER_PID = 2;
  private static final long LATER_PID = 3;

  private final Set<Long> livePids = new HashSet<>();
  private final List<ProcessShare> shares = new ArrayList<>();
  private final List<Runnable> scheduledTasks = new ArrayList<>();
  private LiveProcesses processes;

  @BeforeMethod
  public void startWithEarlierProcess() {
    livePids.clear();
    shares.clear();
    scheduledTasks.clear();
    livePids.add(EARLIER_PID);
    processes =
        new LiveProcesses(
            OWN_PID,
            (task, delayMillis) -> scheduledTasks.add(task),
            Runnable::run,
            livePids::contains,
            shares::add);
    processes.started(EARLIER_PID);
    processes.started(OWN_PID);
  }

  private ProcessShare lastShare() {
    return shares.get(shares.size() - 1);
  }

  @Test
  public void finishingProcessCountsAsRunningButNotAsAccepting() {
    assertEquals(lastShare(), new ProcessShare(2, 2, 1));
    processes.finishing(EARLIER_PID);
    assertEquals(lastShare(), new ProcessShare(2, 1, 0));
    livePids.add(LATER_PID);
    processes.started(LATER_PID);
    assertEquals(lastShare(), new ProcessShare(3, 2, 0));
  }

  @Test
  public void endedFinishingProcessIsRemoved() {
    processes.finishing(EARLIER_PID);
    livePids.remove(EARLIER_PID);
    scheduledTasks.remove(0).run();
    assertEquals(lastShare(), new ProcessShare(1, 1, 0));
  }

  @Test
  public void ignoresUnknownFinishingProcess() {
    int sharesBefore = shares.size();
    processes.finishing(LATER_PID);
    assertEquals(shares.size(), sharesBefore);
  }
}

package ferngrade.server;

import static org.testng.Assert.assertEquals;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/**
 * What a process knows of those beside it. One that accepted no more jobs counted until it ended,
 * 3.5 s later on upgrade days, and the new one had half of the grants for cold workers meanwhile.
 */
public class LiveProcessesTest {
  private static final long OWN = 1;
  private static final long EARLIER = 2;
  private static final long LATER = 3;

  private final Set<Long> alive = new HashSet<>();
  private final List<ProcessShare> shares = new ArrayList<>();
  private final List<Runnable> scheduled = new ArrayList<>();
  private LiveProcesses processes;

  @BeforeMethod
  public void startBesideAnEarlierOne() {
    alive.clear();
    shares.clear();
    scheduled.clear();
    alive.add(EARLIER);
    processes =
        new LiveProcesses(
            OWN, (task, after) -> scheduled.add(task), Runnable::run, alive::contains, shares::add);
    processes.started(EARLIER);
    processes.started(OWN);
  }

  private ProcessShare last() {
    return shares.get(shares.size() - 1);
  }

  @Test
  public void processThatAcceptsNoMoreRunsButSharesNothing() {
    assertEquals(last(), new ProcessShare(2, 2, 1));
    processes.finishing(EARLIER);
    assertEquals(last(), new ProcessShare(2, 1, 0));
    alive.add(LATER);
    processes.started(LATER);
    assertEquals(last(), new ProcessShare(3, 2, 0));
  }

  @Test
  public void endedProcessCountsNoMoreWhetherItWasFinishingOrNot() {
    processes.finishing(EARLIER);
    alive.remove(EARLIER);
    scheduled.remove(0).run();
    assertEquals(last(), new ProcessShare(1, 1, 0));
  }

  @Test
  public void unknownProcessThatFinishesChangesNothing() {
    int before = shares.size();
    processes.finishing(LATER);
    assertEquals(shares.size(), before);
  }
}

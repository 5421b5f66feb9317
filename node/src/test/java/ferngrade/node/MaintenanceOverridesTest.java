package ferngrade.node;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import ferngrade.dispatch.EndpointListUpdate;
import ferngrade.dispatch.Worker;
import ferngrade.dispatch.WorkerState;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.junit.jupiter.api.Test;

class MaintenanceOverridesTest {
  private static Endpoint entry(String name, WorkerState state, double startedAt) {
    return new Endpoint(
        name,
        new InetSocketAddress(InetAddress.getLoopbackAddress(), 9000),
        new Worker(name.hashCode(), state, 0, 0, 0, startedAt, 1));
  }

  private final MaintenanceOverrides maintenance = new MaintenanceOverrides();

  @Test
  void aNameThatNobodyHasIsUnknownAndChangesNothing() {
    maintenance.over(EndpointListUpdate.WHOLE, List.of(entry("s-1", WorkerState.READY, 0)));
    assertFalse(maintenance.knows("s-9"));
    assertTrue(maintenance.knows("s-1"));
    assertEquals(0, maintenance.listedOut());
  }

  @Test
  void aWorkerTakenOutStaysOutWhateverTheListSaysLater() {
    maintenance.over(
        EndpointListUpdate.WHOLE,
        List.of(entry("s-1", WorkerState.READY, 0), entry("s-2", WorkerState.READY, 0)));
    assertEquals(WorkerState.DRAINING, maintenance.take("s-1").worker().state());
    // Discovery lists it anew as active, whole and as a change, and even after it was gone for a
    // while.
    for (EndpointListUpdate news :
        List.of(EndpointListUpdate.WHOLE, EndpointListUpdate.CHANGES, EndpointListUpdate.STORED)) {
      List<Endpoint> told = maintenance.over(news, List.of(entry("s-1", WorkerState.READY, 0)));
      assertEquals(WorkerState.DRAINING, told.get(0).worker().state(), news.name());
    }
    maintenance.over(EndpointListUpdate.CHANGES, List.of(entry("s-1", WorkerState.GONE, 0)));
    assertTrue(maintenance.knows("s-1"));
    assertNull(maintenance.giveBack("s-9", 5));
    List<Endpoint> relisted =
        maintenance.over(EndpointListUpdate.CHANGES, List.of(entry("s-1", WorkerState.READY, 0)));
    assertEquals(WorkerState.DRAINING, relisted.get(0).worker().state());
  }

  @Test
  void twoCallsOutNeedOneCallBackAndTheReturnIsCold() {
    maintenance.over(EndpointListUpdate.WHOLE, List.of(entry("s-1", WorkerState.READY, 100)));
    maintenance.take("s-1");
    maintenance.take("s-1");
    assertEquals(1, maintenance.listedOut());
    Endpoint back = maintenance.giveBack("s-1", 5000);
    assertEquals(WorkerState.READY, back.worker().state());
    assertEquals(5000, back.worker().startedAt());
    assertEquals(0, maintenance.listedOut());
    // The list's older start does not make it warm again; a later start of its own counts.
    assertEquals(
        5000,
        maintenance
            .over(EndpointListUpdate.CHANGES, List.of(entry("s-1", WorkerState.READY, 100)))
            .get(0)
            .worker()
            .startedAt());
    assertEquals(
        7000,
        maintenance
            .over(EndpointListUpdate.CHANGES, List.of(entry("s-1", WorkerState.READY, 7000)))
            .get(0)
            .worker()
            .startedAt());
    assertEquals(
        100,
        maintenance
            .over(EndpointListUpdate.CHANGES, List.of(entry("s-1", WorkerState.READY, 100)))
            .get(0)
            .worker()
            .startedAt());
  }

  @Test
  void aLaterProcessTakesOverWhatIsOutAndWhatCameBack() {
    maintenance.over(
        EndpointListUpdate.WHOLE,
        List.of(entry("s-1", WorkerState.READY, 0), entry("s-2", WorkerState.READY, 0)));
    maintenance.take("s-1");
    maintenance.take("s-2");
    maintenance.giveBack("s-2", 900);
    MaintenanceOverrides later = new MaintenanceOverrides();
    later.restore(maintenance.saved());
    List<Endpoint> told =
        later.over(
            EndpointListUpdate.STORED,
            List.of(entry("s-1", WorkerState.READY, 0), entry("s-2", WorkerState.READY, 0)));
    assertEquals(WorkerState.DRAINING, told.get(0).worker().state());
    assertEquals(WorkerState.READY, told.get(1).worker().state());
    assertEquals(900, told.get(1).worker().startedAt());
    assertEquals(1, later.listedOut());
    assertEquals(2, later.listedAll());
  }

  @Test
  void decisionsOfTwoProcessesMergeToTheSameInEveryOrder() {
    List<MaintenanceEntry> decisions =
        List.of(
            MaintenanceEntry.out("s-1", 1),
            MaintenanceEntry.returned("s-1", 2, 500),
            MaintenanceEntry.out("s-1", 2),
            MaintenanceEntry.returned("s-2", 1, 300),
            MaintenanceEntry.out("s-2", 2),
            MaintenanceEntry.returned("s-2", 3, 700));
    for (int rotation = 0; rotation < decisions.size(); rotation++) {
      List<MaintenanceEntry> order = new ArrayList<>(decisions);
      Collections.rotate(order, rotation);
      MaintenanceOverrides merged = new MaintenanceOverrides();
      order.forEach(merged::merge);
      order.forEach(each -> assertFalse(merged.merge(each), "a repeat changes nothing"));
      // Of two decisions made at once, the one that takes the worker out counts.
      assertEquals(MaintenanceEntry.out("s-1", 2), merged.decision("s-1"));
      assertEquals(MaintenanceEntry.returned("s-2", 3, 700), merged.decision("s-2"));
    }
  }

  @Test
  void decisionWithAVersionReplacesWhatAnEarlierReleaseStored() {
    maintenance.restore(new MaintenanceOverrides.Saved(Set.of("s-1"), Map.of()));
    assertTrue(maintenance.merge(MaintenanceEntry.returned("s-1", 1, 500)));
    maintenance.restore(new MaintenanceOverrides.Saved(Set.of("s-1"), Map.of()));
    assertFalse(maintenance.decision("s-1").out());
  }
}

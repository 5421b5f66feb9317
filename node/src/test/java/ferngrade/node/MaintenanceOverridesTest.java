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

/** Applies, saves and merges operators' maintenance decisions. */
class MaintenanceOverridesTest {
  private static Endpoint entry(String name, WorkerState state, double startedAt) {
    return new Endpoint(
        name,
        new InetSocketAddress(InetAddress.getLoopbackAddress(), 9000),
        new Worker(name.hashCode(), state, 0, 0, 0, startedAt, 1));
  }

  private final MaintenanceOverrides maintenance = new MaintenanceOverrides();

  @Test
  void unlistedNameIsUnknownAndChangesNothing() {
    maintenance.apply(EndpointListUpdate.WHOLE, List.of(entry("s-1", WorkerState.READY, 0)));
    assertFalse(maintenance.isKnown("s-9"));
    assertTrue(maintenance.isKnown("s-1"));
    assertEquals(0, maintenance.inMaintenanceCount());
  }

  @Test
  void workerInMaintenanceStaysDrainingAfterListUpdates() {
    maintenance.apply(
        EndpointListUpdate.WHOLE,
        List.of(entry("s-1", WorkerState.READY, 0), entry("s-2", WorkerState.READY, 0)));
    assertEquals(WorkerState.DRAINING, maintenance.start("s-1").worker().state());
    // Discovery lists the worker as active again, in complete lists and in a change, and even after
    // the worker was temporarily gone.
    for (EndpointListUpdate updateType :
        List.of(EndpointListUpdate.WHOLE, EndpointListUpdate.CHANGES, EndpointListUpdate.STORED)) {
      List<Endpoint> effective =
          maintenance.apply(updateType, List.of(entry("s-1", WorkerState.READY, 0)));
      assertEquals(WorkerState.DRAINING, effective.get(0).worker().state(), updateType.name());
    }
    maintenance.apply(EndpointListUpdate.CHANGES, List.of(entry("s-1", WorkerState.GONE, 0)));
    assertTrue(maintenance.isKnown("s-1"));
    assertNull(maintenance.end("s-9", 5));
    List<Endpoint> relisted =
        maintenance.apply(EndpointListUpdate.CHANGES, List.of(entry("s-1", WorkerState.READY, 0)));
    assertEquals(WorkerState.DRAINING, relisted.get(0).worker().state());
  }

  @Test
  void twoStartsNeedOneEndAndReturnedWorkerIsCold() {
    maintenance.apply(EndpointListUpdate.WHOLE, List.of(entry("s-1", WorkerState.READY, 100)));
    maintenance.start("s-1");
    maintenance.start("s-1");
    assertEquals(1, maintenance.inMaintenanceCount());
    Endpoint returned = maintenance.end("s-1", 5000);
    assertEquals(WorkerState.READY, returned.worker().state());
    assertEquals(5000, returned.worker().startedAt());
    assertEquals(0, maintenance.inMaintenanceCount());
    // The older start time in the list must not make the worker warm again; a later start time in
    // the list takes effect.
    assertEquals(
        5000,
        maintenance
            .apply(EndpointListUpdate.CHANGES, List.of(entry("s-1", WorkerState.READY, 100)))
            .get(0)
            .worker()
            .startedAt());
    assertEquals(
        7000,
        maintenance
            .apply(EndpointListUpdate.CHANGES, List.of(entry("s-1", WorkerState.READY, 7000)))
            .get(0)
            .worker()
            .startedAt());
    assertEquals(
        100,
        maintenance
            .apply(EndpointListUpdate.CHANGES, List.of(entry("s-1", WorkerState.READY, 100)))
            .get(0)
            .worker()
            .startedAt());
  }

  @Test
  void laterProcessRestoresMaintenanceAndReturns() {
    maintenance.apply(
        EndpointListUpdate.WHOLE,
        List.of(entry("s-1", WorkerState.READY, 0), entry("s-2", WorkerState.READY, 0)));
    maintenance.start("s-1");
    maintenance.start("s-2");
    maintenance.end("s-2", 900);
    MaintenanceOverrides restored = new MaintenanceOverrides();
    restored.restore(maintenance.saved());
    List<Endpoint> effective =
        restored.apply(
            EndpointListUpdate.STORED,
            List.of(entry("s-1", WorkerState.READY, 0), entry("s-2", WorkerState.READY, 0)));
    assertEquals(WorkerState.DRAINING, effective.get(0).worker().state());
    assertEquals(WorkerState.READY, effective.get(1).worker().state());
    assertEquals(900, effective.get(1).worker().startedAt());
    assertEquals(1, restored.inMaintenanceCount());
    assertEquals(2, restored.listedCount());
  }

  @Test
  void decisionsOfTwoProcessesMergeToSameStateInAnyOrder() {
    List<MaintenanceEntry> decisions =
        List.of(
            MaintenanceEntry.inMaintenance("s-1", 1),
            MaintenanceEntry.returned("s-1", 2, 500),
            MaintenanceEntry.inMaintenance("s-1", 2),
            MaintenanceEntry.returned("s-2", 1, 300),
            MaintenanceEntry.inMaintenance("s-2", 2),
            MaintenanceEntry.returned("s-2", 3, 700));
    for (int rotation = 0; rotation < decisions.size(); rotation++) {
      List<MaintenanceEntry> order = new ArrayList<>(decisions);
      Collections.rotate(order, rotation);
      MaintenanceOverrides merged = new MaintenanceOverrides();
      order.forEach(merged::merge);
      order.forEach(
          decision ->
              assertFalse(merged.merge(decision), "a repeated decision must not be applied"));
      // Of two concurrent decisions, the one that starts maintenance wins.
      assertEquals(MaintenanceEntry.inMaintenance("s-1", 2), merged.decision("s-1"));
      assertEquals(MaintenanceEntry.returned("s-2", 3, 700), merged.decision("s-2"));
    }
  }

  @Test
  void versionedDecisionReplacesStateOfEarlierRelease() {
    maintenance.restore(new MaintenanceOverrides.Saved(Set.of("s-1"), Map.of()));
    assertTrue(maintenance.merge(MaintenanceEntry.returned("s-1", 1, 500)));
    maintenance.restore(new MaintenanceOverrides.Saved(Set.of("s-1"), Map.of()));
    assertFalse(maintenance.decision("s-1").inMaintenance());
  }
}

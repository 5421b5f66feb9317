package ferngrade.emulator.socket;

import com.eclipsesource.json.Json;
import com.eclipsesource.json.JsonArray;
import com.eclipsesource.json.JsonObject;
import ferngrade.dispatch.Idempotency;
import ferngrade.dispatch.Worker;
import ferngrade.dispatch.WorkerState;
import ferngrade.emulator.ClassSpec;
import ferngrade.emulator.Scenario;
import ferngrade.emulator.TenantSpec;
import ferngrade.emulator.WorkerTypeSpec;
import ferngrade.node.Endpoint;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.Locale;

/**
 * Creates a node's configuration and worker lists in the JSON formats that the platform defines.
 */
public final class NodeFile {
  private NodeFile() {}

  /**
   * Returns a node's configuration. {@code peers} has one address for each node, or is empty if the
   * nodes do not exchange messages.
   */
  static JsonObject configuration(
      Scenario scenario,
      int node,
      String seed,
      InetSocketAddress listen,
      InetSocketAddress discovery,
      InetSocketAddress peerListen,
      List<InetSocketAddress> peers,
      JsonObject known) {
    JsonArray addresses = new JsonArray();
    peers.forEach(peer -> addresses.add(addressText(peer)));
    JsonObject json =
        new JsonObject()
            .add("name", "n" + node)
            .add("listen", addressText(listen))
            .add("discovery", addressText(discovery))
            .add("seed", seed)
            .add(
                "limits",
                new JsonObject().add("cores", 1).add("memory_mb", 192).add("sockets", 1024))
            .add("settings", settings(scenario, node))
            .add("known", known);
    return peers.isEmpty()
        ? json
        : json.add("peer_listen", addressText(peerListen)).add("peers", addresses);
  }

  static String addressText(InetSocketAddress address) {
    return address.getAddress().getHostAddress() + ":" + address.getPort();
  }

  /** Returns a node's settings in the JSON format that {@code SettingsMapping} reads. */
  public static JsonObject settings(Scenario scenario, int node) {
    JsonArray classes = new JsonArray();
    JsonArray workerTypes = new JsonArray();
    JsonArray priorities = new JsonArray();
    JsonArray latencyFactors = new JsonArray();
    for (ClassSpec jobClass : scenario.workload.classes) {
      classes.add(
          new JsonObject()
              .add("Name", jobClass.name)
              .add("Effect", idempotency(jobClass.effect))
              .add("KeyScope", jobClass.scope.name().toLowerCase(Locale.ROOT))
              .add("Window", jobClass.window)
              .add("GoalTime", jobClass.aim)
              .add("Deadline", jobClass.deadline)
              .add("Worth", jobClass.worth)
              .add("LateWorth", jobClass.lateWorth));
      workerTypes.add(-1);
      priorities.add(jobClass.priority);
      latencyFactors.add(jobClass.stretch);
    }
    JsonArray tenants = new JsonArray();
    double[] allowances = scenario.allowances();
    for (int i = 0; i < scenario.workload.tenants.size(); i++) {
      TenantSpec tenant = scenario.workload.tenants.get(i);
      tenants.add(
          new JsonObject()
              .add("Name", tenant.name)
              .add("Share", tenant.share)
              .add("AllowancePerS", allowances[i]));
    }
    return new JsonObject()
        .add("Me", node)
        .add("Balancers", scenario.nodes)
        .add("Locality", scenario.zoneOfNode(node))
        .add("Round", scenario.roundMs)
        .add("Zones", arrayOf(scenario.zones))
        .add(
            "Kinds",
            arrayOf(scenario.kinds.stream().map((WorkerTypeSpec type) -> type.name).toList()))
        .add("Discovery", "push")
        .add("Classes", classes)
        .add("Tenants", tenants)
        .add(
            "Ceilings",
            new JsonObject()
                .add("MostTries", scenario.tries)
                .add("SecondCopies", scenario.secondCopies)
                .add("Cancel", scenario.cancel)
                .add("Probes", true)
                .add("PeerMessages", scenario.peers)
                .add("RetryAfter", scenario.retryAfterMax > 0)
                .add("MaxRetryAfter", scenario.retryAfterMax)
                .add("ConnectTimeout", scenario.network.connectTimeout)
                .add("ConnIdle", scenario.network.connectionIdle)
                .add("OpenCap", 20_000))
        .add(
            "Rules",
            new JsonObject()
                .add("StartCapacity", scenario.startCapacity)
                .add("Cold", scenario.coldMs)
                .add("FallMultiple", scenario.fallMultiple)
                .add("TipAfter", scenario.tipMs))
        .add("Charges", new JsonObject().add("CrossZone", scenario.crossCharge))
        .add(
            "Extra",
            new JsonObject()
                .add("TellsStart", true)
                .add("ClassStretch", latencyFactors)
                .add("ClassKind", workerTypes)
                .add("ClassPriority", priorities));
  }

  private static String idempotency(Idempotency idempotency) {
    return switch (idempotency) {
      case SAFE -> "idempotent";
      case KEYED -> "deduplicated";
      case UNSAFE -> "at_most_once";
    };
  }

  private static JsonArray arrayOf(List<String> texts) {
    JsonArray array = new JsonArray();
    texts.forEach(array::add);
    return array;
  }

  /** Returns a worker list in the JSON format of discovery. */
  static JsonObject list(
      Scenario scenario, List<Endpoint> members, long revision, boolean complete) {
    JsonArray entries = new JsonArray();
    for (Endpoint member : members) {
      Worker worker = member.worker();
      entries.add(
          new JsonObject()
              .add("id", member.name())
              .add("host_port", addressText(member.address()))
              .add("locality", scenario.zones.get(worker.zone()))
              .add("flavor", scenario.kinds.get(worker.workerType()).name)
              .add("cell", worker.cell())
              .add("phase", phase(worker.state()))
              .add("size", worker.weight())
              .add("up_since_ms", Json.value(worker.startedAt())));
    }
    return new JsonObject()
        .add("revision", revision)
        .add("complete", complete)
        .add("members", entries);
  }

  private static String phase(WorkerState state) {
    return switch (state) {
      case READY -> "active";
      case DRAINING -> "leaving";
      case GONE -> "left";
    };
  }
}

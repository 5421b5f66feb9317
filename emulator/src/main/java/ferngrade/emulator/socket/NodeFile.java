package ferngrade.emulator.socket;

import com.eclipsesource.json.Json;
import com.eclipsesource.json.JsonArray;
import com.eclipsesource.json.JsonObject;
import ferngrade.dispatch.Idempotency;
import ferngrade.dispatch.Worker;
import ferngrade.dispatch.WorkerState;
import ferngrade.emulator.ClassSpec;
import ferngrade.emulator.KindSpec;
import ferngrade.emulator.Scenario;
import ferngrade.emulator.TenantSpec;
import ferngrade.node.Endpoint;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.Locale;

/** Writes what a node reads: its configuration and worker lists, in the platform's forms. */
public final class NodeFile {
  private NodeFile() {}

  /**
   * A node's configuration; {@code peers} has an address for each node, empty where nodes do not
   * talk.
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
    peers.forEach(each -> addresses.add(text(each)));
    JsonObject json =
        new JsonObject()
            .add("name", "n" + node)
            .add("listen", text(listen))
            .add("discovery", text(discovery))
            .add("seed", seed)
            .add(
                "limits",
                new JsonObject().add("cores", 1).add("memory_mb", 192).add("sockets", 1024))
            .add("settings", settings(scenario, node))
            .add("known", known);
    return peers.isEmpty()
        ? json
        : json.add("peer_listen", text(peerListen)).add("peers", addresses);
  }

  static String text(InetSocketAddress address) {
    return address.getAddress().getHostAddress() + ":" + address.getPort();
  }

  /** The settings as a node's file spells them; {@code SettingsMapping} reads them back. */
  public static JsonObject settings(Scenario scenario, int node) {
    JsonArray classes = new JsonArray();
    JsonArray kinds = new JsonArray();
    JsonArray priorities = new JsonArray();
    JsonArray stretches = new JsonArray();
    for (ClassSpec each : scenario.workload.classes) {
      classes.add(
          new JsonObject()
              .add("Name", each.name)
              .add("Effect", effect(each.effect))
              .add("KeyScope", each.scope.name().toLowerCase(Locale.ROOT))
              .add("Window", each.window)
              .add("GoalTime", each.aim)
              .add("Deadline", each.deadline)
              .add("Worth", each.worth)
              .add("LateWorth", each.lateWorth));
      kinds.add(-1);
      priorities.add(each.priority);
      stretches.add(each.stretch);
    }
    JsonArray tenants = new JsonArray();
    double[] allowances = scenario.allowances();
    for (int i = 0; i < scenario.workload.tenants.size(); i++) {
      TenantSpec each = scenario.workload.tenants.get(i);
      tenants.add(
          new JsonObject()
              .add("Name", each.name)
              .add("Share", each.share)
              .add("AllowancePerS", allowances[i]));
    }
    return new JsonObject()
        .add("Me", node)
        .add("Balancers", scenario.nodes)
        .add("Locality", scenario.zoneOfNode(node))
        .add("Round", scenario.roundMs)
        .add("Zones", texts(scenario.zones))
        .add("Kinds", texts(scenario.kinds.stream().map((KindSpec kind) -> kind.name).toList()))
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
                .add("ClassStretch", stretches)
                .add("ClassKind", kinds)
                .add("ClassPriority", priorities));
  }

  private static String effect(Idempotency effect) {
    return switch (effect) {
      case SAFE -> "idempotent";
      case KEYED -> "deduplicated";
      case UNSAFE -> "at_most_once";
    };
  }

  private static JsonArray texts(List<String> texts) {
    JsonArray array = new JsonArray();
    texts.forEach(array::add);
    return array;
  }

  /** A worker list in discovery's form. */
  static JsonObject list(
      Scenario scenario, List<Endpoint> members, long revision, boolean complete) {
    JsonArray entries = new JsonArray();
    for (Endpoint member : members) {
      Worker worker = member.worker();
      entries.add(
          new JsonObject()
              .add("id", member.name())
              .add("host_port", text(member.address()))
              .add("locality", scenario.zones.get(worker.zone()))
              .add("flavor", scenario.kinds.get(worker.kind()).name)
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

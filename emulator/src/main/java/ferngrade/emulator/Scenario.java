package ferngrade.emulator;

import ferngrade.dispatch.DeploymentLimits;
import ferngrade.dispatch.DispatcherSettings;
import ferngrade.dispatch.Idempotency;
import ferngrade.dispatch.ServiceObjective;
import ferngrade.dispatch.SlowStartPolicy;
import ferngrade.dispatch.Tenant;
import java.util.ArrayList;
import java.util.List;

/**
 * Everything that a run is made of but its seed and its policy. A run reads it and changes nothing
 * in it. Times are milliseconds.
 */
public final class Scenario {
  /** Arrivals come for so long; after that the run goes on until all is answered. */
  @Quantity(Quantity.Measure.TIME)
  public double duration = 30_000;

  @Quantity(Quantity.Measure.POSITIVE)
  public int nodes = 3;

  @Quantity(Quantity.Measure.POSITIVE)
  public int workers = 15;

  public List<String> zones = new ArrayList<>(List.of("a", "b"));
  public List<KindSpec> kinds = new ArrayList<>();

  @Quantity(Quantity.Measure.POSITIVE)
  public int cellSize = 4;

  public WorkloadSpec workload = new WorkloadSpec();
  public NetworkSpec network = new NetworkSpec();
  public DiscoverySpec discovery = new DiscoverySpec();
  public List<Fault> faults = new ArrayList<>();

  @Quantity(Quantity.Measure.POSITIVE)
  public int tries = 5;

  public boolean secondCopies = true;
  public boolean cancel = true;
  public boolean peers = true;

  @Quantity(Quantity.Measure.TIME)
  public double retryAfterMax = 2000;

  @Quantity(Quantity.Measure.TIME)
  public double roundMs = 4;

  @Quantity(Quantity.Measure.TIME)
  public double drainGrace = 250;

  @Quantity(Quantity.Measure.POSITIVE)
  public double fallMultiple = 2.5;

  @Quantity(Quantity.Measure.TIME)
  public double tipMs = 3000;

  /** What the rules promise of a fresh worker; the kinds must keep it. */
  @Quantity(Quantity.Measure.SHARE)
  public double startCapacity = 0.15;

  @Quantity(Quantity.Measure.TIME)
  public double coldMs = 24_000;

  @Quantity(Quantity.Measure.SHARE)
  public double crossCharge = 0.017;

  /** How long the front goes on sending to a node that has died. */
  @Quantity(Quantity.Measure.TIME)
  public double frontNotice = 2500;

  /**
   * A fleet of two zones and three kinds, and two classes of jobs, one of which must never run
   * twice.
   */
  public static Scenario standard() {
    Scenario scenario = new Scenario();
    scenario.kinds.add(kind("fast", 0.43, 5, 1.6));
    scenario.kinds.add(kind("std", 0.33, 5, 1.0));
    scenario.kinds.add(kind("slow", 0.24, 7, 0.6));
    ClassSpec plan = new ClassSpec();
    plan.name = "plan";
    plan.share = 0.65;
    plan.effect = Idempotency.KEYED;
    plan.worth = 5;
    plan.priority = 1;
    ClassSpec order = new ClassSpec();
    order.name = "order";
    order.share = 0.35;
    order.work = 1800;
    order.aim = 500;
    order.stretch = 1.75;
    order.deadline = 20_000;
    order.worth = 3;
    scenario.workload.classes.addAll(List.of(plan, order));
    double[] shares = {0.3, 0.25, 0.2, 0.15, 0.1};
    for (int i = 0; i < shares.length; i++) {
      scenario.workload.tenants.add(new TenantSpec("tenant-" + i, shares[i]));
    }
    return scenario;
  }

  private static KindSpec kind(String name, double share, double cores, double speed) {
    KindSpec kind = new KindSpec();
    kind.name = name;
    kind.share = share;
    kind.cores = cores;
    kind.speed = speed;
    return kind;
  }

  /** The kind of the worker with this number: kinds are dealt out evenly, by their shares. */
  public int kindOf(int number) {
    double shares = 0;
    for (KindSpec kind : kinds) {
      shares += kind.share;
    }
    // The golden ratio's multiples spread the kinds evenly over any range of numbers.
    double at = (number + 0.5) * 0.6180339887498949 % 1 * shares;
    int kind = 0;
    while (kind < kinds.size() - 1 && at >= kinds.get(kind).share) {
      at -= kinds.get(kind).share;
      kind++;
    }
    return kind;
  }

  /** The capacity of the fleet at the start, in ms of work on a standard core for each ms. */
  public double capacity() {
    double capacity = 0;
    for (int i = 0; i < workers; i++) {
      KindSpec kind = kinds.get(kindOf(i));
      capacity += kind.cores * kind.speed;
    }
    return capacity;
  }

  /** Jobs a second that clients ask for, before faults. */
  public double rate() {
    return workload.rate > 0
        ? workload.rate
        : 1000 * workload.load * capacity() / workload.meanWork();
  }

  /** Requests a second inside each tenant's share. */
  public double[] allowances() {
    double shares = workload.tenants.stream().mapToDouble(each -> each.share).sum();
    double jobs = 1000 * workload.quota * capacity() / workload.meanWork();
    return workload.tenants.stream().mapToDouble(each -> jobs * each.share / shares).toArray();
  }

  /** The zone of the node with this number. */
  public int zoneOfNode(int node) {
    return node % zones.size();
  }

  /** What the node with this number is told of the deployment. */
  public DispatcherSettings settings(int node) {
    return settings(node, allowances());
  }

  /** The same for those who ask for many nodes: the allowances go through the whole fleet. */
  DispatcherSettings settings(int node, double[] allowances) {
    List<Tenant> tenants = new ArrayList<>();
    for (int i = 0; i < workload.tenants.size(); i++) {
      TenantSpec each = workload.tenants.get(i);
      tenants.add(new Tenant(each.name, each.share, allowances[i]));
    }
    return new DispatcherSettings(
        node,
        nodes,
        zoneOfNode(node),
        roundMs,
        workload.classes.stream().map(ClassSpec::jobClass).toList(),
        tenants,
        new DeploymentLimits(tries, secondCopies, cancel, true, peers, retryAfterMax),
        new SlowStartPolicy(startCapacity, coldMs, fallMultiple, tipMs),
        false,
        true,
        discovery.weightPeriod > 0,
        crossCharge,
        new ServiceObjective(0, 0));
  }
}

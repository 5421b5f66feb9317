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
 * Specifies a run except for its seed and policy. A run does not modify its scenario. Times are in
 * ms.
 */
public final class Scenario {
  /** The time during which requests arrive; the run then continues until all are answered. */
  @Quantity(Quantity.Measure.TIME)
  public double duration = 30_000;

  @Quantity(Quantity.Measure.POSITIVE)
  public int nodes = 3;

  @Quantity(Quantity.Measure.POSITIVE)
  public int workers = 15;

  public List<String> zones = new ArrayList<>(List.of("a", "b"));
  public List<WorkerTypeSpec> kinds = new ArrayList<>();

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

  /**
   * The minimum share of its capacity that dispatchers assume a new worker to have. Every worker
   * type must have at least this share at its start.
   */
  @Quantity(Quantity.Measure.SHARE)
  public double startCapacity = 0.15;

  @Quantity(Quantity.Measure.TIME)
  public double coldMs = 24_000;

  @Quantity(Quantity.Measure.SHARE)
  public double crossCharge = 0.017;

  /** The time for which the front load balancer keeps sending requests to a crashed node. */
  @Quantity(Quantity.Measure.TIME)
  public double frontNotice = 2500;

  /**
   * Creates a scenario with two zones, three worker types and two job classes; jobs of the class
   * {@code order} must not run twice.
   */
  public static Scenario standard() {
    Scenario scenario = new Scenario();
    scenario.kinds.add(workerType("fast", 0.43, 5, 1.6));
    scenario.kinds.add(workerType("std", 0.33, 5, 1.0));
    scenario.kinds.add(workerType("slow", 0.24, 7, 0.6));
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

  private static WorkerTypeSpec workerType(String name, double share, double cores, double speed) {
    WorkerTypeSpec type = new WorkerTypeSpec();
    type.name = name;
    type.share = share;
    type.cores = cores;
    type.speed = speed;
    return type;
  }

  /** Returns the index of the type of a worker; types are assigned evenly by their shares. */
  public int workerTypeOf(int number) {
    double shares = 0;
    for (WorkerTypeSpec type : kinds) {
      shares += type.share;
    }
    // Multiples of the golden ratio distribute the types evenly over any range of numbers.
    double remaining = (number + 0.5) * 0.6180339887498949 % 1 * shares;
    int workerType = 0;
    while (workerType < kinds.size() - 1 && remaining >= kinds.get(workerType).share) {
      remaining -= kinds.get(workerType).share;
      workerType++;
    }
    return workerType;
  }

  /** Returns the capacity of the fleet at the start, in ms of work on a standard core per ms. */
  public double capacity() {
    double capacity = 0;
    for (int i = 0; i < workers; i++) {
      WorkerTypeSpec type = kinds.get(workerTypeOf(i));
      capacity += type.cores * type.speed;
    }
    return capacity;
  }

  /** Returns the arrival rate in jobs per second, without the effect of faults. */
  public double rate() {
    return workload.rate > 0
        ? workload.rate
        : 1000 * workload.load * capacity() / workload.meanWork();
  }

  /** Returns, for each tenant, the rate that its share allows, in requests per second. */
  public double[] allowances() {
    double shares = workload.tenants.stream().mapToDouble(tenant -> tenant.share).sum();
    double jobs = 1000 * workload.quota * capacity() / workload.meanWork();
    return workload.tenants.stream().mapToDouble(tenant -> jobs * tenant.share / shares).toArray();
  }

  /** Returns the index of a node's zone. */
  public int zoneOfNode(int node) {
    return node % zones.size();
  }

  /** Returns the dispatcher settings of a node. */
  public DispatcherSettings settings(int node) {
    return settings(node, allowances());
  }

  /**
   * Returns the dispatcher settings of a node with precomputed allowances. Computing the allowances
   * iterates over the whole fleet, which is slow if repeated for many nodes.
   */
  DispatcherSettings settings(int node, double[] allowances) {
    List<Tenant> tenants = new ArrayList<>();
    for (int i = 0; i < workload.tenants.size(); i++) {
      TenantSpec tenant = workload.tenants.get(i);
      tenants.add(new Tenant(tenant.name, tenant.share, allowances[i]));
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

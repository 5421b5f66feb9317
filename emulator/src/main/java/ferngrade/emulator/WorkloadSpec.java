package ferngrade.emulator;

import java.util.ArrayList;
import java.util.List;

/** Specifies the clients' workload: an open loop, in which arrivals never wait for answers. */
public final class WorkloadSpec {
  /** The arrival rate in jobs per second; if 0, it is derived from {@code load}. */
  @Quantity(Quantity.Measure.RATE)
  public double rate;

  /** The offered work, as a share of the fleet's capacity at the start. */
  public double load = 0.7;

  public Shape shape = Shape.STEADY;

  /**
   * The amplitude of a wave or of the bursts, as a share of the rate. {@link #period} is the period
   * of the wave, or the mean length of a high and a low phase together.
   */
  @Quantity(Quantity.Measure.SHARE)
  public double swing = 0.3;

  @Quantity(Quantity.Measure.TIME)
  public double period = 20_000;

  /**
   * The maximum number of retries by a client; {@link #backoff} is the wait before the first retry.
   */
  public int retries = 1;

  @Quantity(Quantity.Measure.TIME)
  public double backoff = 200;

  public boolean exponential = true;

  /** The share of retries that honour a {@code Retry-After} header. */
  @Quantity(Quantity.Measure.SHARE)
  public double honour = 0.9;

  /** The share of requests that the client abandons before the deadline. */
  @Quantity(Quantity.Measure.SHARE)
  public double impatient = 0.02;

  /**
   * The factor that is applied to the value of requests beyond the tenant's share. {@link #quota}
   * is the share of the fleet's capacity that is divided among the tenants.
   */
  @Quantity(Quantity.Measure.SHARE)
  public double overShareWorth = 0.05;

  @Quantity(Quantity.Measure.POSITIVE)
  public double quota = 0.85;

  /**
   * The number of objects that jobs refer to, 0 if jobs have no objects. Their popularity follows
   * Zipf's law with the exponent {@link #objectSkew}.
   */
  public int objects;

  public double objectSkew = 1;

  /** The work to fetch an object that a worker has not cached, as a share of the mean work. */
  public double fetch = 0.9;

  /** Whether jobs name their object to the nodes. */
  public boolean tellObjects = true;

  public List<ClassSpec> classes = new ArrayList<>();
  public List<TenantSpec> tenants = new ArrayList<>();

  /** A trace of arrivals to replay; if empty, arrivals are random. */
  public List<Arrival> trace = List.of();

  /** How the arrival rate varies over time. */
  public enum Shape {
    STEADY,
    WAVE,
    BURSTY
  }

  /** One arrival of a trace, {@code at} ms from the start. */
  public record Arrival(double at, int jobClass, int tenant, double work) {}

  /** Returns the mean work of a job, in ms on a standard core. */
  public double meanWork() {
    double shares = 0;
    double work = 0;
    for (ClassSpec jobClass : classes) {
      shares += jobClass.share;
      work += jobClass.share * jobClass.work * jobClass.slots;
    }
    return work / shares;
  }
}

package ferngrade.emulator;

import java.util.ArrayList;
import java.util.List;

/** What clients ask for: an open loop, in which arrivals never wait for answers. */
public final class WorkloadSpec {
  /** Jobs a second; 0 takes {@code load}. */
  @Quantity(Quantity.Measure.RATE)
  public double rate;

  /** The work asked for, as a share of the fleet's capacity at the start. */
  public double load = 0.7;

  public Shape shape = Shape.STEADY;

  /**
   * How far a wave swings and a bursty load jumps, as a share of the rate; and how long that takes.
   */
  @Quantity(Quantity.Measure.SHARE)
  public double swing = 0.3;

  @Quantity(Quantity.Measure.TIME)
  public double period = 20_000;

  /** Retries that a client makes by itself at most, and the wait before one. */
  public int retries = 1;

  @Quantity(Quantity.Measure.TIME)
  public double backoff = 200;

  public boolean exponential = true;

  /** The share of clients that wait as long as {@code Retry-After} says. */
  @Quantity(Quantity.Measure.SHARE)
  public double honour = 0.9;

  /** The share of tries that their client leaves early. */
  @Quantity(Quantity.Measure.SHARE)
  public double impatient = 0.02;

  /**
   * The worth of what a tenant asks beyond its share, and the share of the capacity that shares
   * divide.
   */
  @Quantity(Quantity.Measure.SHARE)
  public double overShareWorth = 0.05;

  @Quantity(Quantity.Measure.POSITIVE)
  public double quota = 0.85;

  /**
   * How many objects jobs are about, 0 for none, and the exponent of Zipf's law by which they are
   * asked for.
   */
  public int objects;

  public double objectSkew = 1;

  /** What a fetch costs a worker that has not got the object, as a share of the mean job. */
  public double fetch = 0.9;

  /** Whether jobs name their object to the nodes. */
  public boolean tellObjects = true;

  public List<ClassSpec> classes = new ArrayList<>();
  public List<TenantSpec> tenants = new ArrayList<>();

  /** Arrivals taken from a trace in place of drawn ones; empty for none. */
  public List<Arrival> trace = List.of();

  /** How the rate moves. */
  public enum Shape {
    STEADY,
    WAVE,
    BURSTY
  }

  /** One arrival of a trace, {@code at} ms from the start. */
  public record Arrival(double at, int jobClass, int tenant, double work) {}

  /** The mean core time of a job, in ms on a standard core. */
  public double meanWork() {
    double shares = 0;
    double work = 0;
    for (ClassSpec each : classes) {
      shares += each.share;
      work += each.share * each.work * each.slots;
    }
    return work / shares;
  }
}

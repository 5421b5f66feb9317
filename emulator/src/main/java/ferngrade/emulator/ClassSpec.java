package ferngrade.emulator;

import ferngrade.dispatch.Idempotency;
import ferngrade.dispatch.IdempotencyScope;
import ferngrade.dispatch.JobClass;

/**
 * One class of jobs: what the decisions are told of it, and how much work its jobs bring.
 * Milliseconds.
 */
public final class ClassSpec {
  public String name = "job";

  /** Its part of the arrivals, in proportion to the other classes'. */
  public double share = 1;

  /** The mean of its work on a standard core, lognormal with this coefficient of variation. */
  @Quantity(Quantity.Measure.TIME)
  public double work = 900;

  public double workSpread = 0.4;

  /** How far the hint and each attempt stray from that, as coefficients of variation. */
  public double hintNoise = 0.3;

  public double attemptNoise = 0.3;
  public Idempotency effect = Idempotency.UNSAFE;
  public IdempotencyScope scope = IdempotencyScope.ALL;

  @Quantity(Quantity.Measure.TIME)
  public double window = 15_000;

  @Quantity(Quantity.Measure.TIME)
  public double aim = 750;

  public double stretch = 2;

  @Quantity(Quantity.Measure.TIME)
  public double deadline = 10_000;

  public double worth = 1;
  public double lateWorth;
  public int priority;

  @Quantity(Quantity.Measure.POSITIVE)
  public int slots = 1;

  /** What the decisions are told. */
  public JobClass jobClass() {
    return new JobClass(
        name, effect, scope, window, aim, stretch, deadline, worth, lateWorth, -1, priority);
  }
}

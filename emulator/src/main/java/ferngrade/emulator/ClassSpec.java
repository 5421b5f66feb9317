package ferngrade.emulator;

import ferngrade.dispatch.Idempotency;
import ferngrade.dispatch.IdempotencyScope;
import ferngrade.dispatch.JobClass;

/**
 * Specifies a class of jobs: the settings that dispatchers receive, and the work of its jobs. Times
 * are in ms.
 */
public final class ClassSpec {
  public String name = "job";

  /** The weight by which arrivals are distributed among the classes. */
  public double share = 1;

  /**
   * The mean work of a job on a standard core. The work is lognormal with the coefficient of
   * variation {@link #workSpread}.
   */
  @Quantity(Quantity.Measure.TIME)
  public double work = 900;

  public double workSpread = 0.4;

  /**
   * The coefficient of variation of the client's estimate of the work, relative to the actual work.
   * {@link #attemptNoise} is the coefficient of variation of the work of single attempts of a job.
   */
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

  /** Returns the settings of this class that dispatchers receive. */
  public JobClass jobClass() {
    return new JobClass(
        name, effect, scope, window, aim, stretch, deadline, worth, lateWorth, -1, priority);
  }
}

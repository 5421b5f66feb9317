package ferngrade.dispatch;

/**
 * The service objective. A weight is 0 if it is not configured.
 *
 * @param whole weight of the total value served
 * @param worstClass weight of the served share of the worst class
 */
public record ServiceObjective(double whole, double worstClass) {
  public ServiceObjective {
    Preconditions.checkRange(whole >= 0, "Goal.whole", whole);
    Preconditions.checkRange(worstClass >= 0, "Goal.worstClass", worstClass);
  }
}

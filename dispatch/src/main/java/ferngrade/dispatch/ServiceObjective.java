package ferngrade.dispatch;

/**
 * The service objective: the weights of the total value served and of the share served of the worst
 * class; 0 where not configured.
 */
public record ServiceObjective(double whole, double worstClass) {
  public ServiceObjective {
    Preconditions.that(whole >= 0, "Goal.whole", whole);
    Preconditions.that(worstClass >= 0, "Goal.worstClass", worstClass);
  }
}

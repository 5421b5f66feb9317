package ferngrade.dispatch;

/**
 * What weighs how much in the judgement of a deployment: the worth served over all, and the share
 * of the worst class; 0 each where that is not told.
 */
public record ServiceObjective(double whole, double worstClass) {
  public ServiceObjective {
    Preconditions.that(whole >= 0, "Goal.whole", whole);
    Preconditions.that(worstClass >= 0, "Goal.worstClass", worstClass);
  }
}

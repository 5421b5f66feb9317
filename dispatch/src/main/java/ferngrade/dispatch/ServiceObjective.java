package ferngrade.dispatch;

/**
 * The service objective. A weight is 0 if it is not configured.
 *
 * @param totalValueWeight weight of the total value served
 * @param worstClassWeight weight of the served share of the worst class
 */
public record ServiceObjective(double totalValueWeight, double worstClassWeight) {
  public ServiceObjective {
    Preconditions.checkRange(totalValueWeight >= 0, "Goal.whole", totalValueWeight);
    Preconditions.checkRange(worstClassWeight >= 0, "Goal.worstClass", worstClassWeight);
  }
}

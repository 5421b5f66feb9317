package ferngrade.dispatch;

import java.util.Arrays;
import java.util.List;

/**
 * Decides which classes have priority when slots are scarce, from the recent work of each class and
 * the service objective. Event thread only.
 */
final class ClassPriorities {
  /**
   * Factor by which the work counted by class decays per budget cycle, which keeps about half a
   * minute of history.
   */
  private static final double WORK_DECAY = 0.985;

  private final List<JobClass> classes;
  private final ServiceObjective objective;
  private final double[] recentWork;

  ClassPriorities(List<JobClass> classes, ServiceObjective objective) {
    this.classes = classes;
    this.objective = objective;
    this.recentWork = new double[classes.size()];
  }

  /**
   * Adds a request's work to the recent work of its class. Work is the expected time in ms on a
   * standard core, multiplied by the number of slots.
   */
  void requestArrived(int jobClass, double work) {
    recentWork[jobClass] += work;
  }

  /** Decays the counts by one budget cycle. */
  void endCycle() {
    Arrays.setAll(recentWork, i -> recentWork[i] * WORK_DECAY);
  }

  /**
   * Returns true if giving slots to this class increases the total value by more than the worst
   * class loses. Both are weighted by the service objective.
   */
  boolean hasPriority(int jobClass) {
    double totalValue = 0;
    double totalWork = 0;
    for (int i = 0; i < recentWork.length; i++) {
      totalValue += recentWork[i] * classes.get(i).value();
      totalWork += recentWork[i];
    }
    double gain = classes.get(jobClass).value() * totalWork - totalValue;
    return objective.totalValueWeight() * gain > objective.worstClassWeight() * totalValue;
  }
}

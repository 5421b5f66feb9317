package ferngrade.dispatch;

import java.util.Arrays;
import java.util.List;

/**
 * Decides which classes go first when slots are scarce, by the work that each class brought lately
 * and the service objective. Event thread only.
 */
final class ClassPriorities {
  /** What a budget cycle leaves of the work counted by class: half a minute is remembered. */
  private static final double WORK_MEMORY = 0.985;

  private final List<JobClass> classes;
  private final ServiceObjective objective;
  private final double[] recentWork;

  ClassPriorities(List<JobClass> classes, ServiceObjective objective) {
    this.classes = classes;
    this.objective = objective;
    this.recentWork = new double[classes.size()];
  }

  /** Counts a request's work: ms on a standard core times slots. */
  void requestArrived(int jobClass, double work) {
    recentWork[jobClass] += work;
  }

  /** Ages the counts by one budget cycle. */
  void endCycle() {
    Arrays.setAll(recentWork, i -> recentWork[i] * WORK_MEMORY);
  }

  /** True if work moved to this class adds more to the total than the worst class loses by it. */
  boolean goesFirst(int jobClass) {
    double value = 0;
    double work = 0;
    for (int i = 0; i < recentWork.length; i++) {
      value += recentWork[i] * classes.get(i).worth();
      work += recentWork[i];
    }
    double gain = classes.get(jobClass).worth() * work - value;
    return objective.whole() * gain > objective.worstClass() * value;
  }
}

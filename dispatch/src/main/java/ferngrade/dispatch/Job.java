package ferngrade.dispatch;

/**
 * A client's request.
 *
 * @param deadline time in ms at which the client stops waiting
 * @param work expected ms on a standard core, 0 if unknown
 * @param slots slots that the job holds while it runs
 * @param memory memory that the job holds while it runs
 * @param object identifies the object that a worker needs to have cached for the job, 0 for none
 */
public record Job(
    String id,
    int jobClass,
    int tenant,
    double deadline,
    double work,
    double slots,
    double memory,
    long object) {
  public Job {
    Preconditions.checkRange(id != null && !id.isEmpty(), "Job.id", id);
    Preconditions.checkRange(jobClass >= 0, "Job.jobClass", jobClass);
    Preconditions.checkRange(tenant >= 0, "Job.tenant", tenant);
    Preconditions.checkRange(!Double.isNaN(deadline), "Job.due", deadline);
    Preconditions.checkRange(work >= 0, "Job.work", work);
    Preconditions.checkRange(slots >= 0, "Job.slots", slots);
    Preconditions.checkRange(memory >= 0, "Job.memory", memory);
  }
}

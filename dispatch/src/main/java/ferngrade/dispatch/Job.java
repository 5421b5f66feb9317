package ferngrade.dispatch;

/**
 * A client's request: {@code due} is the time at which the client gives up, {@code work} the
 * expected ms on a standard core (0 if unknown), {@code slots} and {@code memory} what the job
 * holds while it runs, {@code object} the mark of what a worker must have at hand for it, 0 for
 * nothing.
 */
public record Job(
    String id,
    int jobClass,
    int tenant,
    double due,
    double work,
    double slots,
    double memory,
    long object) {
  public Job {
    Preconditions.that(id != null && !id.isEmpty(), "Job.id", id);
    Preconditions.that(jobClass >= 0, "Job.jobClass", jobClass);
    Preconditions.that(tenant >= 0, "Job.tenant", tenant);
    Preconditions.that(!Double.isNaN(due), "Job.due", due);
    Preconditions.that(work >= 0, "Job.work", work);
    Preconditions.that(slots >= 0, "Job.slots", slots);
    Preconditions.that(memory >= 0, "Job.memory", memory);
  }
}

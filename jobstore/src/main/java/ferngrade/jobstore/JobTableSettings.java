package ferngrade.jobstore;

/**
 * Durations and limits of leases and retries.
 *
 * @param leaseMillis the duration of a lease without a heartbeat
 * @param inDoubtMillis the time in the state {@link JobState#IN_DOUBT} after which a job fails
 * @param retainResultMillis the time for which the result of a job is retained after its end
 * @param maxLeases the maximum number of leases of a job
 * @param backoffMillis the delay before the first retry
 * @param maxBackoffMillis the upper bound of the exponential backoff
 */
public record JobTableSettings(
    double leaseMillis,
    double inDoubtMillis,
    double retainResultMillis,
    int maxLeases,
    double backoffMillis,
    double maxBackoffMillis) {
  /** The settings of tables that only replay a log and never change a job. */
  static final JobTableSettings REPLAY_ONLY = new JobTableSettings(1, 0, 0, 1, 0, 0);

  /** Throws an {@link IllegalArgumentException} if a value is out of range. */
  public JobTableSettings {
    boolean durationsValid = leaseMillis > 0 && inDoubtMillis >= 0 && retainResultMillis >= 0;
    boolean retriesValid = maxLeases >= 1 && backoffMillis >= 0;
    if (!durationsValid || !retriesValid || !(maxBackoffMillis >= backoffMillis)) {
      throw new IllegalArgumentException(
          String.format(
              "settings out of range: lease %s, in doubt %s, results %s, leases %s, backoff %s to"
                  + " %s",
              leaseMillis,
              inDoubtMillis,
              retainResultMillis,
              maxLeases,
              backoffMillis,
              maxBackoffMillis));
    }
  }
}

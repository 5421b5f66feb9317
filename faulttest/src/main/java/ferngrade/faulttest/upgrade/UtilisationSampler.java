package ferngrade.faulttest.upgrade;

/** Periodically samples the number of jobs in progress at all workers. */
final class UtilisationSampler extends BackgroundLoop {
  private static final long INTERVAL_MILLIS = 20;

  private final UpgradeRun run;

  UtilisationSampler(UpgradeRun run) {
    super("utilisation");
    this.run = run;
  }

  @Override
  void step() throws InterruptedException {
    Observations observations = run.observations();
    observations.add(
        new Observations.Utilisation(observations.now(), run.jobsInProgress(), run.slots()));
    Thread.sleep(INTERVAL_MILLIS);
  }
}

package ferngrade.faulttest.upgrade;

/** Asks the workers at intervals how much they have in work. */
final class UtilisationSampler extends BackgroundLoop {
  private static final long INTERVAL = 20;

  private final UpgradeRun run;

  UtilisationSampler(UpgradeRun run) {
    super("utilisation");
    this.run = run;
  }

  @Override
  void step() throws InterruptedException {
    Observations observations = run.observations();
    observations.add(
        new Observations.Utilisation(observations.now(), run.jobsInWork(), run.slots()));
    Thread.sleep(INTERVAL);
  }
}

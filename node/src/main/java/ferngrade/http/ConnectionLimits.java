package ferngrade.http;

/**
 * How many connections of which sort there may be, all from the limits that the configuration
 * gives. {@code front}: those that clients and workers' call-backs have opened; {@code jobs}: those
 * of them with a job in work; {@code owing}: those of them that owe a whole request or their end;
 * {@code workers}: those opened to workers. {@code waiting}: bytes of bodies that may wait behind
 * requests in work.
 */
public record ConnectionLimits(int front, int jobs, int owing, int workers, long waiting) {
  /**
   * Descriptors of the runtime itself, the listeners, discovery (two while it moves) and the peers.
   */
  private static final int OWN = 24;

  /**
   * Share of the descriptors kept back for what lies beside the counts: accepts and closes under
   * way.
   */
  private static final double SPARE = 0.06;

  /**
   * Share of the other descriptors for connections to workers: each is held from the send to the
   * 202.
   */
  private static final double WORKERS = 0.3;

  /**
   * Share of the front's for jobs in work. It is more than the third of all descriptors that
   * clients hold for requests, and leaves the rest to call-backs: without them no job in work would
   * ever end.
   */
  private static final double JOBS = 0.6;

  private static final double OWING = 0.25;

  /** The bounds within so many descriptors and so much memory. */
  public static ConnectionLimits within(int sockets, int memoryMb) {
    int usable = (int) (sockets * (1 - SPARE)) - OWN;
    int workers = (int) (WORKERS * usable);
    int front = usable - workers;
    // Each that owes a request may hold most of a body: together at most a sixteenth of the memory.
    int bodies = (memoryMb << 20) / 16 / HttpFrontend.MOST_BODY;
    return new ConnectionLimits(
        front,
        (int) (JOBS * front),
        Math.min((int) (OWING * front), bodies),
        workers,
        ((long) memoryMb << 20) / 32);
  }
}

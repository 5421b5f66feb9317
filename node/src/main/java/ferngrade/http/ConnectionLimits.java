package ferngrade.http;

/**
 * How many connections of each kind there may be, all derived from the configured limits.
 *
 * @param clients those that clients and workers' callbacks have opened
 * @param jobs those of them with a job in flight
 * @param awaited those of them whose request, or close, is awaited
 * @param workers those opened to workers
 * @param waitingBytes bytes of the bodies that may wait behind requests in progress
 */
public record ConnectionLimits(int clients, int jobs, int awaited, int workers, long waitingBytes) {
  /**
   * Descriptors of the runtime itself, the listeners, discovery (two while it moves) and the peers.
   */
  private static final int OWN = 24;

  /** Share of the descriptors reserved for what is not counted: accepts and closes in progress. */
  private static final double SPARE = 0.06;

  /**
   * Share of the other descriptors for connections to workers: each is held from the send to the
   * 202.
   */
  private static final double WORKERS = 0.3;

  /**
   * Share of the clients' for jobs in flight. It is more than the third of all descriptors that
   * clients hold for requests, and leaves the rest to callbacks: without them no job in flight
   * would ever end.
   */
  private static final double JOBS = 0.6;

  private static final double AWAITED = 0.25;

  /** The limits for so many descriptors and so much memory. */
  public static ConnectionLimits within(int sockets, int memoryMb) {
    int usable = (int) (sockets * (1 - SPARE)) - OWN;
    int workers = (int) (WORKERS * usable);
    int clients = usable - workers;
    // Each that is awaited may hold most of a body: together at most a sixteenth of the memory.
    int bodies = (memoryMb << 20) / 16 / HttpFrontend.MAX_BODY;
    return new ConnectionLimits(
        clients,
        (int) (JOBS * clients),
        Math.min((int) (AWAITED * clients), bodies),
        workers,
        ((long) memoryMb << 20) / 32);
  }
}

package ferngrade.http;

/**
 * The maximum numbers of connections by use, derived from the configured limits.
 *
 * @param clients the connections opened by clients and by workers for callbacks
 * @param jobs the client connections with a job in flight
 * @param awaitedConnections the client connections whose request or close has not arrived yet
 * @param workers the connections opened to workers
 */
public record ConnectionLimits(int clients, int jobs, int awaitedConnections, int workers) {
  /**
   * The file descriptors of the runtime itself, the listeners, discovery (two while its address
   * changes) and the peers.
   */
  private static final int RESERVED_DESCRIPTORS = 24;

  /**
   * The share of the descriptors reserved for connections that are not counted: accepts and closes
   * in progress.
   */
  private static final double UNCOUNTED_SHARE = 0.06;

  /**
   * The share of the remaining descriptors for connections to workers. Each is in use from the send
   * of an attempt to the 202.
   */
  private static final double WORKER_SHARE = 0.3;

  /**
   * The share of the client connections for jobs in flight. The resulting limit exceeds a third of
   * all descriptors, which is the number that clients use for requests. The rest remains for
   * callbacks, without which no job in flight would ever end.
   */
  private static final double JOB_SHARE = 0.6;

  private static final double AWAITED_SHARE = 0.25;

  /** Returns the limits for a number of file descriptors and a size of memory. */
  public static ConnectionLimits within(int sockets, int memoryMb) {
    int usable = (int) (sockets * (1 - UNCOUNTED_SHARE)) - RESERVED_DESCRIPTORS;
    int workers = (int) (WORKER_SHARE * usable);
    int clients = usable - workers;
    // Each awaited connection may hold nearly a whole body. Together they may use a sixteenth of
    // the memory.
    int bodies = (memoryMb << 20) / 16 / HttpFrontend.MAX_BODY_BYTES;
    return new ConnectionLimits(
        clients,
        (int) (JOB_SHARE * clients),
        Math.min((int) (AWAITED_SHARE * clients), bodies),
        workers);
  }
}

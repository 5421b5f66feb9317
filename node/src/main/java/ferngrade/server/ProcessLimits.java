package ferngrade.server;

import ferngrade.config.NodeConfig;
import ferngrade.http.ConnectionLimits;
import ferngrade.http.ConnectionPool;
import ferngrade.http.HttpFrontend;
import ferngrade.node.MemoryBudget;
import ferngrade.node.RateLimitedLog;
import ferngrade.node.RequestCoordinator;

/**
 * Divides the limits of a node between its processes. Descriptors and memory are divided between
 * all running processes, since a process holds its part until it exits; the quota for warming-up
 * workers is divided between the processes that accept jobs. Used on the event loop only.
 */
final class ProcessLimits {
  /**
   * The minimum number of descriptors with which a process can serve, which is also the minimum
   * that a configuration may set.
   */
  private static final int MIN_DESCRIPTORS = 64;

  /** The share of a node's memory that it may hold on behalf of its peers. */
  private static final double NODE_MEMORY_SHARE = 5.0 / 32;

  /**
   * The share of a process's heap that it may hold on behalf of its peers. The rest holds the
   * node's own state, the endpoint list and what one turn of the event loop allocates.
   */
  private static final double HEAP_SHARE = 0.25;

  private final NodeConfig config;
  private final RateLimitedLog log;

  ProcessLimits(NodeConfig config, RateLimitedLog log) {
    this.config = config;
    this.log = log;
  }

  /** Returns the limits of each process when the node's limits are shared by {@code processes}. */
  ConnectionLimits limits(int processes) {
    return ConnectionLimits.within(
        Math.max(MIN_DESCRIPTORS, config.sockets() / processes), config.memoryMb() / processes);
  }

  /**
   * Returns the memory that each process may hold on behalf of its peers, in bytes, when the node's
   * limits are shared by {@code processes}: a share of the configured memory, but no more than a
   * share of the heap that the runtime grants.
   */
  long peerMemory(int processes) {
    double configured = NODE_MEMORY_SHARE * ((long) config.memoryMb() << 20) / processes;
    return (long) Math.min(configured, HEAP_SHARE * Runtime.getRuntime().maxMemory());
  }

  /** Applies the share of this process to its components. */
  void apply(
      ProcessShare share,
      RequestCoordinator coordinator,
      HttpFrontend frontend,
      ConnectionPool pool,
      MemoryBudget memory) {
    log.line(
        share.running()
            + " processes of this node are running, "
            + share.accepting()
            + " accept jobs, this one has index "
            + share.index());
    coordinator.setProcessCount(share.accepting(), share.index());
    ConnectionLimits limits = limits(share.running());
    frontend.setLimits(limits);
    pool.setMaxConnections(limits.workers());
    memory.setLimit(peerMemory(share.running()));
  }
}

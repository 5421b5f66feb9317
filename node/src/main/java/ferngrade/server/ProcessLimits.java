package ferngrade.server;

import ferngrade.config.NodeConfig;
import ferngrade.http.ConnectionLimits;
import ferngrade.http.ConnectionPool;
import ferngrade.http.HttpFrontend;
import ferngrade.node.RateLimitedLog;
import ferngrade.node.RequestCoordinator;

/**
 * Divides what the configuration grants to a node between its processes: descriptors and memory
 * between all that run, as each holds its part until it ends, grants for workers that warm up
 * between those that accept jobs. Belongs to the event loop.
 */
final class ProcessLimits {
  /**
   * The fewest descriptors with which a process can serve; the least that a configuration names.
   */
  private static final int MIN_DESCRIPTORS = 64;

  private final NodeConfig config;
  private final RateLimitedLog log;

  ProcessLimits(NodeConfig config, RateLimitedLog log) {
    this.config = config;
    this.log = log;
  }

  /** The limits of one of so many processes of the node: they hold for all of them together. */
  ConnectionLimits limits(int processes) {
    return ConnectionLimits.within(
        Math.max(MIN_DESCRIPTORS, config.sockets() / processes), config.memoryMb() / processes);
  }

  /** Has the parts of this process keep to its share. */
  void apply(
      ProcessShare share, RequestCoordinator coordinator, HttpFrontend front, ConnectionPool pool) {
    log.line(
        share.running()
            + " processes of this node run, "
            + share.accepting()
            + " accept jobs, this is number "
            + share.index());
    coordinator.sharedBy(share.accepting(), share.index());
    ConnectionLimits limits = limits(share.running());
    front.limitTo(limits);
    pool.limitTo(limits.workers());
  }
}

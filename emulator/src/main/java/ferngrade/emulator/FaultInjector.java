package ferngrade.emulator;

/** Injects faults into nodes and the network; implemented by virtual-time and socket runs. */
public interface FaultInjector {
  /** Kills a node's process. */
  void killNode(int node);

  /** Restarts a node that was killed. */
  void startNode(int node);

  /** Pauses or resumes a node's process. */
  void pauseNode(int node, boolean begins);

  /** Begins or ends a network cut in the direction from one zone to another. */
  void cut(int from, int to, boolean begins);

  /** Closes a worker's connections after its process has ended; new connections are refused. */
  void workerDown(EmulatedWorker worker);

  /** Makes a worker's machine unreachable without closing its connections. */
  void workerUnreachable(EmulatedWorker worker);

  /** Makes a worker reachable after it was added or its process restarted. */
  void workerUp(EmulatedWorker worker);
}

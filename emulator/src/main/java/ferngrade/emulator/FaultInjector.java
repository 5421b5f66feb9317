package ferngrade.emulator;

/** What a plan of faults can do to the nodes and the network; each skin does it in its own way. */
public interface FaultInjector {
  /** Kills a node's process. */
  void killNode(int node);

  /** Starts a node that was killed. */
  void startNode(int node);

  /** A node's process stands still, or goes on. */
  void pauseNode(int node, boolean begins);

  /** Nothing gets from one zone to another any more, or it does again. */
  void cut(int from, int to, boolean begins);

  /** A worker's process has ended: its connections break, and new ones are refused. */
  void workerDown(EmulatedWorker worker);

  /** A worker's machine vanishes. */
  void workerVanished(EmulatedWorker worker);

  /** A worker was added or its process started again. */
  void workerUp(EmulatedWorker worker);
}

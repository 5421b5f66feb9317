package ferngrade.faulttest.upgrade;

/** What may happen to a node in a soak; each ends with one process that serves. */
public enum EpisodeKind {
  /** A new process, and SIGTERM to the old one once it is ready. */
  UPGRADE,
  /** A new process that is killed before or just after it is ready. */
  FAILED_UPGRADE,
  /** Two new processes in quick succession; the earlier two are told to end. */
  DOUBLE_UPGRADE,
  /** A new process, and SIGKILL to the old one once the new one is ready. */
  OLD_KILLED,
  /** A new process that is told to end, while the old one goes on. */
  NEW_TERMINATED,
  /** An upgrade in which one of the two processes is stopped for a while. */
  ONE_STOPPED,
  /** Discovery moves; one of two processes is told by SIGHUP. */
  RELOAD,
  /** Operators drain and resume the node, at different processes. */
  DRAIN,
  /** The folder that the processes share cannot be used for a while. */
  FOLDER_FAILS
}

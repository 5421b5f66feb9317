package ferngrade.faulttest.upgrade;

/** The types of episodes of a soak run; each ends with a single serving process. */
public enum EpisodeKind {
  /** Starts a new process, and sends SIGTERM to the old one once the new one is ready. */
  UPGRADE,
  /** Starts a new process and kills it before or just after it is ready. */
  FAILED_UPGRADE,
  /** Starts two new processes in quick succession, and sends SIGTERM to the earlier two. */
  DOUBLE_UPGRADE,
  /** Starts a new process, and sends SIGKILL to the old one once the new one is ready. */
  OLD_KILLED,
  /** Starts a new process and terminates it while the old one continues to serve. */
  NEW_TERMINATED,
  /** Upgrades while one of the two processes is stopped for a while. */
  ONE_STOPPED,
  /**
   * Changes the discovery address in the configuration while two processes run, and sends SIGHUP to
   * one of them.
   */
  RELOAD,
  /** Drains and resumes the node through calls at different processes. */
  DRAIN,
  /** Makes the shared folder unavailable for a while. */
  FOLDER_FAILS
}

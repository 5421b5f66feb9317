package ferngrade.faulttest.upgrade;

/**
 * One episode of a soak, with all that is left to chance in it.
 *
 * @param kind what happens
 * @param pause how long the node serves in peace before it, ms
 * @param offset when in it the fault or the signal comes, ms
 * @param length how long a passing fault lasts, ms
 * @param old true if the earlier of two processes is meant, where one of them is
 * @param worker the worker that operators take out in it
 */
public record Episode(
    EpisodeKind kind, long pause, long offset, long length, boolean old, String worker) {}

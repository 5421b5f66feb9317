package ferngrade.faulttest.upgrade;

/**
 * One episode of a soak run, with all its random choices.
 *
 * @param kind the type of the episode
 * @param pause the time before the episode without any fault, ms
 * @param offset the time from the start of the episode to the fault or the signal, ms
 * @param length the duration of a temporary fault, ms
 * @param affectsOldProcess whether the fault or signal affects the earlier of two processes, in
 *     episodes that affect only one process
 * @param worker the worker that operators disable in the episode
 */
public record Episode(
    EpisodeKind kind,
    long pause,
    long offset,
    long length,
    boolean affectsOldProcess,
    String worker) {}

package ferngrade.dispatch;

/**
 * One entry of the worker list; {@code startedAt} is 0 if long ago, {@code cell} the group that
 * shares keys.
 */
public record Worker(
    long id, WorkerState state, int zone, int kind, int cell, double startedAt, double weight) {}

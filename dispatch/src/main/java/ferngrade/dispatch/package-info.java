/**
 * Decides which jobs a dispatcher admits, which worker runs each job, and when a job is retried or
 * hedged. The host delivers events with the time to {@link ferngrade.dispatch.Dispatcher} and
 * performs its {@link ferngrade.dispatch.Dispatcher.Actions}. {@link
 * ferngrade.dispatch.ThrottlingDispatcher} passes each event to the components that own the state.
 * No class in this package reads a clock, starts a thread or uses sockets or files, and all random
 * numbers come from one seeded generator, so that a run can be reproduced exactly. Times are in ms,
 * rates per second.
 *
 * <p>A run must be the same on every processor. {@link Math} may compute {@code exp}, {@code pow},
 * {@code sin} and similar functions with instructions of the processor, whose last bit differs from
 * one kind to the next. {@link StrictMath} defines every bit of these functions, so this package
 * and the emulator, whose traces contain the results, use it instead. {@link Math#sqrt}, {@link
 * Math#round} and the other functions with exact results are not affected.
 */
package ferngrade.dispatch;

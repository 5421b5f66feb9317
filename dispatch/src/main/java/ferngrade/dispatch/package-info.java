/**
 * Decides which jobs a dispatcher admits, which worker runs each job, and when a job is retried or
 * hedged. The host delivers events with the time to {@link ferngrade.dispatch.Dispatcher} and
 * performs its {@link ferngrade.dispatch.Dispatcher.Actions}. {@link
 * ferngrade.dispatch.ThrottlingDispatcher} passes each event to the components that own the state.
 * No class in this package reads a clock, starts a thread or uses sockets or files, and all random
 * numbers come from one seeded generator, so that a run can be reproduced exactly. Times are in ms,
 * rates per second.
 */
package ferngrade.dispatch;

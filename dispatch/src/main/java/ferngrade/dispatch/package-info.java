/**
 * The decisions of one dispatcher, which pushes jobs to workers: admission, selection of a worker,
 * retries and hedging. {@link ferngrade.dispatch.Dispatcher} is the seam to the host, which
 * delivers events with the time and carries out {@link ferngrade.dispatch.Dispatcher.Actions};
 * {@link ferngrade.dispatch.ThrottlingDispatcher} passes each event through parts that own their
 * state. No class here reads a clock, starts a thread or touches a socket or file, and all chance
 * comes from one seeded generator, so that a run is repeated to the last bit. Times are ms, rates a
 * second.
 */
package ferngrade.dispatch;

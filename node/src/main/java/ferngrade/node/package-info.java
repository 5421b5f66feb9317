/**
 * A node without any protocol: pending requests and their one final answer, attempts, timers, the
 * endpoint list with maintenance, and the files and clocks of a process. {@link
 * ferngrade.node.RequestCoordinator} is the entry; transports are interfaces here. Times are
 * milliseconds on the monotonic clock unless a name says otherwise; everything belongs to the
 * thread of the event loop except where a class says otherwise.
 */
package ferngrade.node;

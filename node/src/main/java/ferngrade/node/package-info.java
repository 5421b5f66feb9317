/**
 * Contains the parts of a node that are independent of protocols: pending requests and their final
 * answers, attempts, timers, the endpoint list with maintenance, and the files and clocks of a
 * process. {@link ferngrade.node.RequestCoordinator} is the entry point; transports are interfaces
 * here. Times are milliseconds on the monotonic clock unless a name or comment says otherwise. All
 * objects are confined to the event loop's thread unless a class says otherwise.
 */
package ferngrade.node;

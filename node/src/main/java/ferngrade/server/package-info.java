/**
 * Contains the composition root of a node: {@link ferngrade.server.NodeServer} wires the components
 * together on one event loop and stops them within the shutdown budget.
 */
package ferngrade.server;

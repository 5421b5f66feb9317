/**
 * The composition root of a node on sockets: {@link ferngrade.server.NodeServer} puts the parts
 * together on one event loop, and stops them within the budget of a shutdown.
 */
package ferngrade.server;

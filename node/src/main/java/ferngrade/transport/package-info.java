/**
 * Contains the Netty code that all protocols of a node share: opening channels, opening connections
 * with retries, reading ahead of the event loop, and classifying operating system errors by their
 * origin.
 */
package ferngrade.transport;

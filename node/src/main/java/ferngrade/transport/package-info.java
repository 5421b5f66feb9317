/**
 * What all protocols of a node share on Netty: opening channels, dialling with retries, reading
 * ahead of the event loop, and telling whose fault an error of the operating system is.
 */
package ferngrade.transport;

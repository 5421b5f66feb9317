/** Exchanges messages between the nodes of a deployment, one UDP datagram each. */
package ferngrade.peer;

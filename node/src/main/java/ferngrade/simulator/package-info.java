/**
 * Runs the dispatcher under the simulator, over a line-based protocol on standard input and output.
 * The protocol's names are used in this package only.
 */
package ferngrade.simulator;

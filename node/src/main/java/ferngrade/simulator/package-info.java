/**
 * Runs the dispatcher under the simulator, over a protocol of lines on standard input and output.
 * Names of that protocol do not go beyond this package.
 */
package ferngrade.simulator;

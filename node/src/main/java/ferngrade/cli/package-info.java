/**
 * The command line of the program and its signals. Commands of other modules are found through
 * {@link java.util.ServiceLoader}.
 */
package ferngrade.cli;

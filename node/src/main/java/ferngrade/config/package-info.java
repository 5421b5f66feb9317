/**
 * Reads what a node is configured with: its configuration file and environment, the endpoint list,
 * and the saved maintenance. Errors are reported in one line that names the field. No class here
 * keeps state.
 */
package ferngrade.config;

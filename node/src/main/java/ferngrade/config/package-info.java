/**
 * Parses the configuration file and environment of a node, the endpoint list, and the stored
 * maintenance overrides. Errors are reported in one line that names the field. The classes keep no
 * state between calls.
 */
package ferngrade.config;

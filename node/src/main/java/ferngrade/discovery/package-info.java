/**
 * Watches the endpoint list over HTTP and passes each update to the coordinator. The last list
 * stays in use while discovery cannot be reached.
 */
package ferngrade.discovery;

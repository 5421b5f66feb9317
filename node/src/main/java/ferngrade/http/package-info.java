/**
 * The HTTP/1.1 servers and clients of a node. Clients' requests and workers' callbacks arrive
 * through {@link ferngrade.http.HttpFrontend}, operators' calls through {@link
 * ferngrade.http.AdminServer}. Attempts, cancellations and health checks are sent through {@link
 * ferngrade.http.WorkerClient}, and callbacks for the other process of an upgrade through {@link
 * ferngrade.http.UpgradePeer}. All classes are confined to the event loop.
 */
package ferngrade.http;

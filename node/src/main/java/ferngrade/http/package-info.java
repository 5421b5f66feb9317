/**
 * HTTP/1.1 with everybody who calls a node or is called by it. Clients and workers' callbacks come
 * in through {@link ferngrade.http.HttpFrontend}, operators' calls through {@link
 * ferngrade.http.Admin}; attempts, cancellations and health checks go out through {@link
 * ferngrade.http.WorkerClient}, callbacks for the other process of an upgrade through {@link
 * ferngrade.http.UpgradePeer}. All classes belong to the event loop.
 */
package ferngrade.http;

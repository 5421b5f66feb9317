/**
 * Upgrade tests of a node with real processes: several processes of one node on one inherited
 * socket, workers, a discovery agent, clients with persistent connections, operators, and injected
 * faults. {@link ferngrade.faulttest.upgrade.UpgradeRun} assembles them; {@link
 * ferngrade.faulttest.upgrade.UpgradeChecker} checks the invariants on the observations.
 */
package ferngrade.faulttest.upgrade;

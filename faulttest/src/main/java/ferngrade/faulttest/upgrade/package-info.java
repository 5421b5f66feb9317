/**
 * Upgrades of a node with real processes: several processes of one node on one inherited socket,
 * workers, a discovery agent, clients that keep their connections, operators, and faults between
 * them. {@link ferngrade.faulttest.upgrade.UpgradeRun} puts them together; {@link
 * ferngrade.faulttest.upgrade.UpgradeChecker} judges what was observed from outside.
 */
package ferngrade.faulttest.upgrade;

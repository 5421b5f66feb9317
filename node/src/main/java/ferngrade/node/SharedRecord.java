package ferngrade.node;

/** A record that the processes of one node exchange through their {@link SharedLog}. */
public sealed interface SharedRecord
    permits MaintenanceEntry, DrainRecord, ProcessRecord, FinishingRecord, DiscoveryRecord {}

package ferngrade.node;

/** Something that the processes of one node tell each other through their {@link SharedLog}. */
public sealed interface SharedRecord
    permits MaintenanceEntry, DrainRecord, ProcessRecord, FinishingRecord, DiscoveryRecord {}

/**
 * Stores jobs durably. {@link ferngrade.jobstore.JobTable} holds the states of the jobs and the
 * rules for their changes, without I/O. {@link ferngrade.jobstore.WriteAheadLog} makes changes
 * durable on a {@link ferngrade.jobstore.Storage}, and {@link ferngrade.jobstore.LogCompactor}
 * replaces its closed logs by snapshots. {@link ferngrade.jobstore.JobStore} connects table and log
 * and writes on a dedicated thread. {@link ferngrade.jobstore.StoreCommand} provides the operators'
 * commands.
 */
package ferngrade.jobstore;

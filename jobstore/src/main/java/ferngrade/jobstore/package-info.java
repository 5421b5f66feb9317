/**
 * Durable jobs. {@link ferngrade.jobstore.JobTable} holds the states of the jobs and the rules for
 * their changes, without I/O. {@link ferngrade.jobstore.WriteAheadLog} makes changes durable on a
 * {@link ferngrade.jobstore.Storage}, and {@link ferngrade.jobstore.LogCompactor} replaces its
 * closed logs by snapshots. {@link ferngrade.jobstore.JobStore} connects table and log with a
 * thread for the disk. {@link ferngrade.jobstore.StoreCommand} is the operator's view of a store.
 */
package ferngrade.jobstore;

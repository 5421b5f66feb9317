package ferngrade.node;

/**
 * Records that a process of the node accepts no more jobs, so that the capacity granted to the node
 * is divided among the other processes. The process still answers the jobs that it has accepted.
 *
 * @param pid the process id
 */
public record FinishingRecord(long pid) implements SharedRecord {}

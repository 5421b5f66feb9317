package ferngrade.node;

/**
 * A process of the node that accepts no more jobs: what is granted to the node is divided between
 * the others. It still answers what it has accepted.
 *
 * @param pid its process id
 */
public record FinishingRecord(long pid) implements SharedRecord {}

package ferngrade.server;

/**
 * Describes the position of this process among the processes of the node.
 *
 * @param running the number of running processes, including this one
 * @param accepting the number of processes that accept jobs
 * @param index the zero-based index of this process among the accepting processes
 */
record ProcessShare(int running, int accepting, int index) {}

package ferngrade.server;

/**
 * This process among those of the node: {@code running} of them exist, {@code accepting} accept
 * jobs, of which this is number {@code index} from 0.
 */
record ProcessShare(int running, int accepting, int index) {}

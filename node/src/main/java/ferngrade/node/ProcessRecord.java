package ferngrade.node;

import java.net.InetSocketAddress;

/**
 * A process of the node that has started.
 *
 * @param pid its process id
 * @param operators where it takes operators' calls and relayed callbacks
 */
public record ProcessRecord(long pid, InetSocketAddress operators) implements SharedRecord {}

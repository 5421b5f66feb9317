package ferngrade.node;

import java.net.InetSocketAddress;

/**
 * A process of the node that has started.
 *
 * @param pid its process id
 * @param operators where it takes operators' calls and relayed callbacks
 * @param first true if no other process of the node ran when it started: decisions on the node as a
 *     whole that were made before are over
 */
public record ProcessRecord(long pid, InetSocketAddress operators, boolean first)
    implements SharedRecord {}

package ferngrade.node;

import java.net.InetSocketAddress;

/**
 * Records that a process of the node has started.
 *
 * @param pid the process id
 * @param operators the address at which the process accepts operators' calls and relayed callbacks
 * @param first true if no other process of the node was running when this process started; earlier
 *     decisions on the node as a whole no longer apply then
 */
public record ProcessRecord(long pid, InetSocketAddress operators, boolean first)
    implements SharedRecord {}

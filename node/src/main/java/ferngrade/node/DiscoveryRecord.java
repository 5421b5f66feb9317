package ferngrade.node;

import java.net.InetSocketAddress;

/**
 * Records that a reload of the configuration at one process of the node has changed the address of
 * discovery.
 *
 * @param former the address that the process watched before
 * @param current the address that the process watches from now on
 */
public record DiscoveryRecord(InetSocketAddress former, InetSocketAddress current)
    implements SharedRecord {}

package ferngrade.node;

import java.net.InetSocketAddress;

/**
 * A reload of the configuration at one process of the node has moved discovery.
 *
 * @param former the address that the process watched before
 * @param current the address that it watches since
 */
public record DiscoveryRecord(InetSocketAddress former, InetSocketAddress current)
    implements SharedRecord {}

package ferngrade.net;

import static org.testng.Assert.assertEquals;

import ferngrade.node.Log;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.net.DatagramPacket;
import java.net.DatagramSocket;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import org.testng.annotations.Test;

/** Datagrams between nodes. */
@Test(timeOut = 30_000)
public class UdpPeersTest {
    private final BlockingQueue<String> told = new LinkedBlockingQueue<>();
    private final MultiThreadIoEventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());

    @Test
    public void datagramsOfStrangersAndLongOnesAreIgnored() throws Exception {
        InetAddress here = InetAddress.getLoopbackAddress();
        try (DatagramSocket peer = new DatagramSocket(0, here); DatagramSocket stranger = new DatagramSocket(0, here)) {
            List<InetSocketAddress> peers = List.of((InetSocketAddress) peer.getLocalSocketAddress());
            UdpPeers udp = new UdpPeers(peers, null, new Log(() -> 0, line -> told.add("logged")),
                    ChannelProvider.SOCKETS);
            InetSocketAddress own = (InetSocketAddress) udp.listen(group, new InetSocketAddress(here, 0),
                    (from, body) -> told.add(from + ":" + body.length)).sync().channel().localAddress();
            stranger.send(new DatagramPacket(new byte[7], 7, own));
            assertEquals(told.take(), "logged");
            peer.send(new DatagramPacket(new byte[300], 300, own));
            assertEquals(told.take(), "logged");
            peer.send(new DatagramPacket(new byte[7], 7, own));
            assertEquals(told.take(), "0:7");
            group.next().submit(() -> udp.tell(0, new byte[9])).get();
            DatagramPacket got = new DatagramPacket(new byte[300], 300);
            peer.receive(got);
            assertEquals(got.getLength(), 9);
            group.next().submit(() -> udp.tell(0, new byte[257])).get();
            assertEquals(told.take(), "logged");
        }
    }
}

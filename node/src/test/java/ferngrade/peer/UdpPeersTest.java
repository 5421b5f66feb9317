package ferngrade.peer;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import ferngrade.node.RateLimitedLog;
import ferngrade.transport.ChannelProvider;
import ferngrade.transport.Errno;
import ferngrade.transport.FaultInjectingChannels;
import ferngrade.transport.FaultInjectingChannels.SystemCall;
import io.netty.channel.Channel;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.net.DatagramPacket;
import java.net.DatagramSocket;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.BooleanSupplier;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Datagrams between nodes. */
@Test(timeOut = 30_000)
public class UdpPeersTest {
  /**
   * Calls that fail in a row where the fault lasts; even, so that where every second call fails the
   * last succeeds.
   */
  private static final int FAULTS = 20;

  private final BlockingQueue<String> told = new LinkedBlockingQueue<>();
  private final MultiThreadIoEventLoopGroup group =
      new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());

  @Test
  public void datagramsOfStrangersAndLongOnesAreIgnored() throws Exception {
    InetAddress here = InetAddress.getLoopbackAddress();
    try (DatagramSocket peer = new DatagramSocket(0, here);
        DatagramSocket stranger = new DatagramSocket(0, here)) {
      List<InetSocketAddress> peers = List.of((InetSocketAddress) peer.getLocalSocketAddress());
      UdpPeers udp =
          new UdpPeers(
              peers,
              null,
              new RateLimitedLog(() -> 0, line -> told.add("logged")),
              ChannelProvider.SOCKETS);
      InetSocketAddress own =
          (InetSocketAddress)
              udp.listen(
                      group,
                      new InetSocketAddress(here, 0),
                      (from, body) -> told.add(from + ":" + body.length))
                  .sync()
                  .channel()
                  .localAddress();
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

  @DataProvider
  public Object[][] faults() {
    List<Object[]> all = new ArrayList<>();
    for (Errno errno :
        List.of(
            Errno.ENOBUFS,
            Errno.ENOMEM,
            Errno.ENETUNREACH,
            Errno.EHOSTUNREACH,
            Errno.ECONNREFUSED)) {
      for (SystemCall call : List.of(SystemCall.SEND, SystemCall.RECEIVE)) {
        all.add(new Object[] {call, errno, FaultInjectingChannels.once()});
        all.add(new Object[] {call, errno, FaultInjectingChannels.everySecondCall()});
        AtomicInteger calls = new AtomicInteger();
        all.add(
            new Object[] {call, errno, (BooleanSupplier) () -> calls.incrementAndGet() <= FAULTS});
      }
    }
    return all.toArray(Object[][]::new);
  }

  @Test(dataProvider = "faults")
  public void datagramsThatFailCostNoChannelAndFewLines(
      SystemCall call, Errno errno, BooleanSupplier strikes) throws Exception {
    FaultInjectingChannels channels = new FaultInjectingChannels();
    AtomicInteger lines = new AtomicInteger();
    InetAddress here = InetAddress.getLoopbackAddress();
    BlockingQueue<Integer> heard = new LinkedBlockingQueue<>();
    try (DatagramSocket peer = new DatagramSocket(0, here)) {
      peer.setSoTimeout(10_000);
      List<InetSocketAddress> peers = List.of((InetSocketAddress) peer.getLocalSocketAddress());
      UdpPeers udp =
          new UdpPeers(
              peers, null, new RateLimitedLog(() -> 0, line -> lines.incrementAndGet()), channels);
      Channel channel =
          udp.listen(group, new InetSocketAddress(here, 0), (from, body) -> heard.add(body.length))
              .sync()
              .channel();
      InetSocketAddress own = (InetSocketAddress) channel.localAddress();
      channels.fail(null, call, errno, strikes);
      for (int i = 1; i <= FAULTS + 2; i++) {
        int size = i;
        group.next().submit(() -> udp.tell(0, new byte[size])).get();
        peer.send(new DatagramPacket(new byte[size], size, own));
      }
      // The last comes through each way: the channel stands.
      DatagramPacket got = new DatagramPacket(new byte[300], 300);
      while (got.getLength() != FAULTS + 2) {
        peer.receive(got);
      }
      while (heard.take() != FAULTS + 2) {
        Thread.onSpinWait();
      }
      assertTrue(channel.isOpen());
      assertTrue(channels.raised.get() > 0, "a call has failed");
      assertTrue(lines.get() <= 1, "lines in the log: " + lines);
      channel.close().sync();
    }
  }
}

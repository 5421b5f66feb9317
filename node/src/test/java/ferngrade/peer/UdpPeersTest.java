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

/** Exchanges datagrams with peers, over real and fault-injecting sockets. */
@Test(timeOut = 30_000)
public class UdpPeersTest {
  /**
   * The number of consecutive calls that fail when the fault is persistent. Even, so that the last
   * call succeeds when every second call fails.
   */
  private static final int FAULT_COUNT = 20;

  private final BlockingQueue<String> results = new LinkedBlockingQueue<>();
  private final MultiThreadIoEventLoopGroup group =
      new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());

  @Test
  public void ignoresDatagramsFromUnknownSendersAndOversizedOnes() throws Exception {
    InetAddress loopback = InetAddress.getLoopbackAddress();
    try (DatagramSocket peer = new DatagramSocket(0, loopback);
        DatagramSocket stranger = new DatagramSocket(0, loopback)) {
      List<InetSocketAddress> peers = List.of((InetSocketAddress) peer.getLocalSocketAddress());
      UdpPeers udp =
          new UdpPeers(
              peers,
              null,
              new RateLimitedLog(() -> 0, line -> results.add("logged")),
              ChannelProvider.SOCKETS);
      InetSocketAddress ownAddress =
          (InetSocketAddress)
              udp.listen(
                      group,
                      new InetSocketAddress(loopback, 0),
                      (from, body) -> results.add(from + ":" + body.length))
                  .sync()
                  .channel()
                  .localAddress();
      stranger.send(new DatagramPacket(new byte[7], 7, ownAddress));
      assertEquals(results.take(), "logged");
      peer.send(new DatagramPacket(new byte[300], 300, ownAddress));
      assertEquals(results.take(), "logged");
      peer.send(new DatagramPacket(new byte[7], 7, ownAddress));
      assertEquals(results.take(), "0:7");
      group.next().submit(() -> udp.send(0, new byte[9])).get();
      DatagramPacket received = new DatagramPacket(new byte[300], 300);
      peer.receive(received);
      assertEquals(received.getLength(), 9);
      group.next().submit(() -> udp.send(0, new byte[257])).get();
      assertEquals(results.take(), "logged");
    }
  }

  @DataProvider
  public Object[][] faults() {
    List<Object[]> rows = new ArrayList<>();
    for (Errno errno :
        List.of(
            Errno.ENOBUFS,
            Errno.ENOMEM,
            Errno.ENETUNREACH,
            Errno.EHOSTUNREACH,
            Errno.ECONNREFUSED)) {
      for (SystemCall call : List.of(SystemCall.SEND, SystemCall.RECEIVE)) {
        rows.add(new Object[] {call, errno, FaultInjectingChannels.once()});
        rows.add(new Object[] {call, errno, FaultInjectingChannels.everySecondCall()});
        AtomicInteger calls = new AtomicInteger();
        rows.add(
            new Object[] {
              call, errno, (BooleanSupplier) () -> calls.incrementAndGet() <= FAULT_COUNT
            });
      }
    }
    return rows.toArray(Object[][]::new);
  }

  @Test(dataProvider = "faults")
  public void failingDatagramCallsKeepChannelOpenAndLogLittle(
      SystemCall call, Errno errno, BooleanSupplier shouldFail) throws Exception {
    FaultInjectingChannels channels = new FaultInjectingChannels();
    AtomicInteger lines = new AtomicInteger();
    InetAddress loopback = InetAddress.getLoopbackAddress();
    BlockingQueue<Integer> receivedSizes = new LinkedBlockingQueue<>();
    try (DatagramSocket peer = new DatagramSocket(0, loopback)) {
      peer.setSoTimeout(10_000);
      List<InetSocketAddress> peers = List.of((InetSocketAddress) peer.getLocalSocketAddress());
      UdpPeers udp =
          new UdpPeers(
              peers, null, new RateLimitedLog(() -> 0, line -> lines.incrementAndGet()), channels);
      Channel channel =
          udp.listen(
                  group,
                  new InetSocketAddress(loopback, 0),
                  (from, body) -> receivedSizes.add(body.length))
              .sync()
              .channel();
      InetSocketAddress ownAddress = (InetSocketAddress) channel.localAddress();
      channels.fail(null, call, errno, shouldFail);
      for (int i = 1; i <= FAULT_COUNT + 2; i++) {
        int size = i;
        group.next().submit(() -> udp.send(0, new byte[size])).get();
        peer.send(new DatagramPacket(new byte[size], size, ownAddress));
      }
      // The last datagram must arrive in both directions, which shows that the channel still works.
      DatagramPacket received = new DatagramPacket(new byte[300], 300);
      while (received.getLength() != FAULT_COUNT + 2) {
        peer.receive(received);
      }
      while (receivedSizes.take() != FAULT_COUNT + 2) {
        Thread.onSpinWait();
      }
      assertTrue(channel.isOpen());
      assertTrue(
          channels.injectedFaults.get() > 0, "the fault must have been injected at least once");
      assertTrue(lines.get() <= 1, "at most one log line expected: " + lines);
      channel.close().sync();
    }
  }
}

package ferngrade.net;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertNull;
import static org.testng.Assert.assertTrue;

import com.eclipsesource.json.Json;
import ferngrade.Choice;
import ferngrade.config.MemberReader;
import ferngrade.config.SettingsMapping;
import ferngrade.node.Log;
import ferngrade.node.Node;
import ferngrade.node.Timers;
import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.testng.annotations.Test;

/** A watch of the worker list, on a clock that the story sets. */
public class DiscoveryWatchTest {
    private volatile double now;

    @Test(timeOut = 30_000)
    public void watchThatMissesOneSignOfLifeIsOpenedAnewFromItsVersion() throws Exception {
        MultiThreadIoEventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
        EventLoop loop = group.next();
        try (ServerSocket discovery = new ServerSocket(0, 5, InetAddress.getLoopbackAddress())) {
            Timers timers = new Timers(() -> now, (millis, run) -> { });
            Node node = loop.submit(() -> start(group, loop, timers,
                    new InetSocketAddress(discovery.getInetAddress(), discovery.getLocalPort()))).get();
            try (RawHttp first = new RawHttp(discovery.accept())) {
                assertEquals(first.read().start(), "GET /api/targets?watch=1 HTTP/1.1");
                String list = "{\"revision\":41,\"complete\":true,\"members\":[{\"id\":\"s-1\","
                        + "\"host_port\":\"127.0.0.1:9\",\"phase\":\"active\"}]}\n";
                first.write("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
                        + Integer.toHexString(list.length()) + "\r\n" + list + "\r\n");
                while (!loop.submit(node::ready).get()) {
                    Thread.onSpinWait();
                }
                now = 2_600;
                loop.submit(timers::run).get();
                assertNull(first.read());
            }
            // The next try is due a moment after the end of the connection has been seen.
            while (loop.submit(() -> {
                now += 100;
                timers.run();
                return now;
            }).get() < 3_500) {
                Thread.onSpinWait();
            }
            try (RawHttp again = new RawHttp(discovery.accept())) {
                assertEquals(again.read().start(), "GET /api/targets?watch=1&from=41 HTTP/1.1");
            }
            assertTrue(loop.submit(node::ready).get(), "the last list stays");
        } finally {
            group.shutdownGracefully(0, 1000, TimeUnit.MILLISECONDS).await();
        }
    }

    private Node start(MultiThreadIoEventLoopGroup group, EventLoop loop, Timers timers, InetSocketAddress discovery) {
        SettingsMapping settings = new SettingsMapping();
        settings.put(Json.parse("{\"Classes\":[{\"Name\":\"order\"}]}").asObject());
        Log log = new Log(() -> now, line -> { });
        Node node = new Node(new Node.Surroundings(() -> now, timers, loop, null, (peer, message) -> { }, log),
                new Node.Room(1, 1, 0), actions -> new Choice(settings.build(), 7, now, actions));
        new DiscoveryWatch(group, discovery, new MemberReader(List.of(), List.of()), node, timers, log, () -> { })
                .start();
        return node;
    }
}

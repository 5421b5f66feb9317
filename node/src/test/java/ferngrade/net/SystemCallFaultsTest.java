package ferngrade.net;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertNotNull;
import static org.testng.Assert.assertTrue;

import ferngrade.net.ChannelProvider.Purpose;
import ferngrade.net.FaultInjectingChannels.SystemCall;
import ferngrade.net.RawHttp.Message;
import ferngrade.node.Clock;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** A whole node whose system calls fail for a while: nothing that it owes is lost, and no worker pays for it. */
@Test(timeOut = 30_000)
public class SystemCallFaultsTest extends NodeStory {
    private static final String TAKEN = "HTTP/1.1 202 Accepted\r\nContent-Length: 0\r\n\r\n";
    private static final String DONE = "\"state\":\"done\",\"result\":\"soup\"";
    private static final String READY = "GET /-/ready HTTP/1.1\r\n\r\n";
    /** Accepts that fail in a row where the fault lasts: Netty would pause for a second after each. */
    private static final int FAILED_ACCEPTS = 5;

    private FaultInjectingChannels faults;

    private enum Pattern { ONCE, FOR_A_WHILE, EVERY_SECOND_CALL }

    @BeforeMethod
    public void injectFaults() {
        faults = new FaultInjectingChannels();
        channels = faults;
    }

    @DataProvider
    public Object[][] acceptFaults() {
        List<Object[]> all = new ArrayList<>();
        for (Errno errno : List.of(Errno.ECONNABORTED, Errno.EMFILE, Errno.ENFILE, Errno.ENOBUFS, Errno.ENOMEM)) {
            for (Pattern pattern : Pattern.values()) {
                all.add(new Object[] {Purpose.CLIENTS, errno, pattern});
                all.add(new Object[] {Purpose.ADMIN, errno, pattern});
            }
        }
        return all.toArray(Object[][]::new);
    }

    @Test(dataProvider = "acceptFaults")
    public void failedAcceptDelaysItsCallerByMillisecondsOnly(Purpose listener, Errno errno, Pattern pattern)
            throws Exception {
        start(list(1, "active"), Clock.system());
        InetSocketAddress address = listener == Purpose.ADMIN ? node.adminAddress() : node.address();
        faults.fail(listener, SystemCall.ACCEPT, errno, switch (pattern) {
            case ONCE -> FaultInjectingChannels.once();
            case FOR_A_WHILE -> () -> faults.raised.get() < FAILED_ACCEPTS;
            case EVERY_SECOND_CALL -> FaultInjectingChannels.everySecondCall();
        });
        long began = System.nanoTime();
        for (int i = 0; i < 3; i++) {
            try (RawHttp client = RawHttp.to(address)) {
                assertEquals(client.write(READY).read().status(), 200);
            }
        }
        long millis = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - began);
        assertTrue(faults.raised.get() > 0, "an accept has failed");
        assertTrue(millis < 900, "no pause of a second: " + millis + " ms");
    }

    /** Brings one job, which the worker gets once. */
    private void serve(String id) throws Exception {
        try (RawHttp client = RawHttp.to(node.address())) {
            client.write(RawHttp.message(job("POST /api", id, "order"), ""));
            try (RawHttp worked = new RawHttp(worker.accept())) {
                Message job = worked.read();
                assertEquals(job.headers().get("Req-Id"), id);
                worked.write(TAKEN);
                settled();
                assertEquals(callBack(id, DONE), 204);
                Message answer = client.read();
                assertNotNull(answer);
                assertEquals(answer.status(), 200);
            }
        }
    }

    @Test
    public void readsAndWritesOfOneByteEachCarryWholeRequests() throws Exception {
        faults.oneByte = true;
        start(list(1, "active"), () -> now);
        serve("a");
        serve("b");
    }
}

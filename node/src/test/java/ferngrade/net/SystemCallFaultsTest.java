package ferngrade.net;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertNotNull;

import ferngrade.net.RawHttp.Message;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** A whole node whose system calls fail for a while: nothing that it owes is lost, and no worker pays for it. */
@Test(timeOut = 30_000)
public class SystemCallFaultsTest extends NodeStory {
    private static final String TAKEN = "HTTP/1.1 202 Accepted\r\nContent-Length: 0\r\n\r\n";
    private static final String DONE = "\"state\":\"done\",\"result\":\"soup\"";

    private FaultInjectingChannels faults;

    @BeforeMethod
    public void injectFaults() {
        faults = new FaultInjectingChannels();
        channels = faults;
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

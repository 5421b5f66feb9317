package ferngrade.net;

import static org.testng.Assert.assertEquals;

import ferngrade.net.RawHttp.Message;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.List;
import org.testng.annotations.Test;

/**
 * Two events that cross, in the bad order every time: the story's peers force it, and time stands still unless the
 * story moves it. docs/design/crossings.md has the table of which test stands for which pair.
 */
@Test(timeOut = 30_000)
public class CrossingsTest extends NodeStory {
    /** The queue of the worker's listener is full, so that a dial hangs until the story takes what waits there. */
    private List<Socket> fillWorkersQueue() throws Exception {
        worker.close();
        worker = new ServerSocket(0, 1, InetAddress.getLoopbackAddress());
        worker.setSoTimeout(10_000);
        return List.of(new Socket(worker.getInetAddress(), worker.getLocalPort()),
                new Socket(worker.getInetAddress(), worker.getLocalPort()));
    }

    private void emptyWorkersQueue(List<Socket> filled) throws Exception {
        for (Socket each : filled) {
            worker.accept().close();
            each.close();
        }
    }

    @Test
    public void clientThatGoesWhileTheWorkerIsDialledHasNothingBegunForIt() throws Exception {
        List<Socket> filled = fillWorkersQueue();
        start(list(1, "active"), () -> now);
        try (RawHttp gone = RawHttp.to(node.address())) {
            gone.write(RawHttp.message(job("POST /api", "a", "order"), ""));
            settled();
        }
        settled();
        emptyWorkersQueue(filled);
        try (RawHttp worked = new RawHttp(worker.accept()); RawHttp client = RawHttp.to(node.address())) {
            settled();
            now += 100;
            client.write(RawHttp.message(job("POST /api", "b", "order"), ""));
            Message first = worked.read();
            assertEquals(first.headers().get("Req-Id"), "b");
        }
    }
}

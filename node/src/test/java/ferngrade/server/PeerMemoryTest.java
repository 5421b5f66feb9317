package ferngrade.server;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import ferngrade.config.NodeConfig;
import ferngrade.dispatch.Dispatcher;
import ferngrade.dispatch.Job;
import ferngrade.http.RawHttp;
import java.lang.management.BufferPoolMXBean;
import java.lang.management.ManagementFactory;
import java.lang.reflect.Proxy;
import java.util.Map;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Guards against clients that use up the node's memory with requests that never end. */
@Test(timeOut = 30_000)
public class PeerMemoryTest extends BlockedLoopFixture {
  private static final int CONNECTIONS = 60;
  private static final String HALF_BODY =
      jobHead("POST /api", "halfID", "order")
          + "\r\nContent-Length: 65536\r\n\r\n"
          + "x".repeat(60_000);
  private static final String HALF_HEAD = "POST /api HTTP/1.1\r\n" + "a:b\r\n".repeat(1500);

  /** The most direct memory that single system calls may take, whatever clients have sent. */
  private static final long MAX_DIRECT_BYTES = 1 << 20;

  @DataProvider
  public Object[][] heldRequests() {
    return new Object[][] {{HALF_BODY}, {request("busyID") + HALF_BODY}, {HALF_HEAD}};
  }

  /** Guards against held requests that use up the direct memory, whose failure blocks the loop. */
  @Test(dataProvider = "heldRequests")
  public void heldRequestsTakeNoDirectMemory(String held) throws Exception {
    start(1024, 192);
    long before = directMemory();
    connect(CONNECTIONS, node.address(), held);
    awaitSettled();
    long taken = directMemory() - before;
    assertTrue(taken <= MAX_DIRECT_BYTES, taken + " bytes of direct memory taken");
  }

  /** Guards against held requests whose sum exceeds the memory granted, and that reject others. */
  @Test(dataProvider = "heldRequests")
  public void sumOfHeldRequestsIsBoundedAndOthersAreServed(String held) throws Exception {
    start(1024, 16);
    connect(CONNECTIONS, node.address(), held);
    awaitSettled();
    Map<String, Long> memory = metrics("peer_memory.");
    long limit = memory.remove("peer_memory.limit");
    long sum = memory.values().stream().mapToLong(Long::longValue).sum();
    assertTrue(sum <= limit, memory + " exceed " + limit);
    RawHttp.Message answer = connect(node.address(), request("usual")).read();
    assertEquals(answer.headers().get("Retry-After"), null, "the job did not reach the dispatcher");
  }

  private void start(int sockets, int memoryMb) throws Exception {
    var config = configuration(discovery.getLocalPort(), null, "push");
    config.get("limits").asObject().set("sockets", sockets).set("memory_mb", memoryMb);
    start(endpointList(1, "active"), NodeConfig.read(config), () -> now, line -> {});
  }

  /**
   * Returns a dispatcher that keeps the jobs whose id begins with "busy" and rejects the others.
   */
  @Override
  Dispatcher dispatcher(Dispatcher.Actions actions) {
    Dispatcher rejecting = super.dispatcher(actions);
    return (Dispatcher)
        Proxy.newProxyInstance(
            getClass().getClassLoader(),
            new Class<?>[] {Dispatcher.class},
            (proxy, method, arguments) ->
                method.getName().equals("requestArrived")
                        && ((Job) arguments[1]).id().startsWith("busy")
                    ? null
                    : method.invoke(rejecting, arguments));
  }

  private static long directMemory() {
    return ManagementFactory.getPlatformMXBeans(BufferPoolMXBean.class).stream()
        .filter(pool -> pool.getName().equals("direct"))
        .mapToLong(BufferPoolMXBean::getMemoryUsed)
        .sum();
  }
}

package ferngrade.server;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertNull;
import static org.testng.Assert.assertThrows;

import ferngrade.http.RawHttp;
import ferngrade.node.Clock;
import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.SocketTimeoutException;
import java.util.ArrayList;
import java.util.List;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/**
 * New configurations in quick succession, each of which moves discovery: only the last address
 * counts.
 */
public class DiscoveryMovesTest extends NodeIntegrationFixture {
  private static final String HEAD = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
  private static final String WHOLE = "GET /api/targets?watch=1 HTTP/1.1";

  /**
   * A connection that the node had begun would be there by now: how long its absence is held for
   * proven, ms.
   */
  private static final int ABSENCE = 200;

  private final List<ServerSocket> addresses = new ArrayList<>();

  @BeforeMethod
  public void openAddresses() throws IOException {
    for (int i = 0; i < 3; i++) {
      ServerSocket address = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
      address.setSoTimeout(10_000);
      addresses.add(address);
    }
  }

  @AfterMethod(alwaysRun = true)
  public void closeAddresses() throws IOException {
    for (ServerSocket address : addresses) {
      address.close();
    }
    addresses.clear();
  }

  private void moveTo(ServerSocket address, String mode) throws Exception {
    node.reload(config(address.getLocalPort(), null, mode));
  }

  @DataProvider
  public Object[][] modes() {
    return new Object[][] {{"push"}, {"ask"}};
  }

  @Test(dataProvider = "modes", timeOut = 20_000)
  public void afterThreeMovesAtOnceOnlyTheLastAddressIsWatchedAndCounts(String mode)
      throws Exception {
    start(
        list(41, "active"),
        config(discovery.getLocalPort(), null, mode),
        Clock.system(),
        line -> {});
    for (ServerSocket address : addresses) {
      moveTo(address, mode);
    }
    settled();
    for (ServerSocket passed : addresses.subList(0, 2)) {
      assertUnwatched(passed);
    }
    RawHttp last = new RawHttp(addresses.get(2).accept());
    assertEquals(last.read().start(), WHOLE);
    try (RawHttp client = RawHttp.to(node.address())) {
      last.write(HEAD + chunk(list(3, "left") + "\n"));
      awaitReadiness(client, 503);
      assertNull(watch.read(), "the first address is not watched any more");
      last.write(chunk(list(4, "active") + "\n"));
      awaitReadiness(client, 200);
    }
  }

  @Test(dataProvider = "modes", timeOut = 20_000)
  public void moveBackBeforeTheNewAddressHasToldAnythingKeepsTheOneWatchThere(String mode)
      throws Exception {
    start(
        list(41, "active"),
        config(discovery.getLocalPort(), null, mode),
        Clock.system(),
        line -> {});
    moveTo(addresses.get(0), mode);
    moveTo(discovery, mode);
    settled();
    assertUnwatched(addresses.get(0));
    discovery.setSoTimeout(ABSENCE);
    assertThrows(SocketTimeoutException.class, discovery::accept);
    try (RawHttp client = RawHttp.to(node.address())) {
      watch.write(chunk(list(42, "left") + "\n"));
      awaitReadiness(client, 503);
      watch.write(chunk(list(43, "active") + "\n"));
      awaitReadiness(client, 200);
    }
  }

  /**
   * Whatever connections were made to this address have been ended by the node, and no other comes.
   */
  private static void assertUnwatched(ServerSocket address) throws IOException {
    address.setSoTimeout(ABSENCE);
    while (true) {
      try (RawHttp watch = new RawHttp(address.accept())) {
        while (watch.read() != null) {
          // The call that was made before the move.
        }
      } catch (SocketTimeoutException nobody) {
        return;
      }
    }
  }
}

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
 * Guards against watches of outdated discovery addresses after several reloads in quick succession:
 * only the last address may be used.
 */
public class DiscoveryMovesTest extends NodeIntegrationFixture {
  private static final String RESPONSE_HEAD =
      "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
  private static final String FULL_LIST_REQUEST = "GET /api/targets?watch=1 HTTP/1.1";

  /** The time after which a missing connection counts as never opened, in ms. */
  private static final int ABSENCE_TIMEOUT_MILLIS = 200;

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
  public void watchesOnlyTheLastAddressAfterThreeMoves(String mode) throws Exception {
    start(
        endpointList(41, "active"),
        config(discovery.getLocalPort(), null, mode),
        Clock.system(),
        line -> {});
    for (ServerSocket address : addresses) {
      moveTo(address, mode);
    }
    awaitSettled();
    for (ServerSocket skipped : addresses.subList(0, 2)) {
      assertUnwatched(skipped);
    }
    RawHttp last = new RawHttp(addresses.get(2).accept());
    assertEquals(last.read().startLine(), FULL_LIST_REQUEST);
    try (RawHttp client = RawHttp.connect(node.address())) {
      last.write(RESPONSE_HEAD + chunk(endpointList(3, "left") + "\n"));
      awaitReadyStatus(client, 503);
      assertNull(watch.read(), "the first address is no longer watched");
      last.write(chunk(endpointList(4, "active") + "\n"));
      awaitReadyStatus(client, 200);
    }
  }

  @Test(dataProvider = "modes", timeOut = 20_000)
  public void movingBackBeforeTheNewAddressSendsAListKeepsTheExistingWatch(String mode)
      throws Exception {
    start(
        endpointList(41, "active"),
        config(discovery.getLocalPort(), null, mode),
        Clock.system(),
        line -> {});
    moveTo(addresses.get(0), mode);
    moveTo(discovery, mode);
    awaitSettled();
    assertUnwatched(addresses.get(0));
    discovery.setSoTimeout(ABSENCE_TIMEOUT_MILLIS);
    assertThrows(SocketTimeoutException.class, discovery::accept);
    try (RawHttp client = RawHttp.connect(node.address())) {
      watch.write(chunk(endpointList(42, "left") + "\n"));
      awaitReadyStatus(client, 503);
      watch.write(chunk(endpointList(43, "active") + "\n"));
      awaitReadyStatus(client, 200);
    }
  }

  /** Asserts that the node has closed all its connections to this address and opens no other. */
  private static void assertUnwatched(ServerSocket address) throws IOException {
    address.setSoTimeout(ABSENCE_TIMEOUT_MILLIS);
    while (true) {
      try (RawHttp watch = new RawHttp(address.accept())) {
        while (watch.read() != null) {
          // Skips the request that was sent before the move.
        }
      } catch (SocketTimeoutException noConnection) {
        return;
      }
    }
  }
}

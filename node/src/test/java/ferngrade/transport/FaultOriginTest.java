package ferngrade.transport;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import io.netty.channel.ChannelException;
import io.netty.channel.ConnectTimeoutException;
import java.io.IOException;
import java.net.BindException;
import java.net.ConnectException;
import java.net.SocketException;
import java.util.concurrent.ExecutionException;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/**
 * Classifies errors by the exception types and messages that the Java runtime and Netty use for
 * them.
 */
public class FaultOriginTest {
  @DataProvider
  public Object[][] errors() {
    return new Object[][] {
      {Errno.EADDRNOTAVAIL.ofConnect(), FaultOrigin.LOCAL},
      {Errno.ENETUNREACH.ofConnect(), FaultOrigin.LOCAL},
      {Errno.ENOBUFS.ofTransfer(), FaultOrigin.LOCAL},
      {Errno.ENOMEM.ofTransfer(), FaultOrigin.LOCAL},
      {
        new ChannelException("Failed to open a socket.", Errno.EMFILE.ofConnect()),
        FaultOrigin.LOCAL
      },
      {
        new ChannelException("Failed to open a socket.", Errno.ENFILE.ofConnect()),
        FaultOrigin.LOCAL
      },
      // Netty appends the address to the message of a failed connect.
      {new SocketException("Cannot assign requested address: /127.0.0.1:9"), FaultOrigin.LOCAL},
      {new ConnectException("Connection refused: /127.0.0.1:9"), FaultOrigin.PEER},
      {
        new ConnectTimeoutException("connection timed out after 100 ms: /127.0.0.1:9"),
        FaultOrigin.PEER
      },
      {Errno.ETIMEDOUT.ofConnect(), FaultOrigin.PEER},
      {Errno.EHOSTUNREACH.ofConnect(), FaultOrigin.PEER},
      {Errno.ETIMEDOUT.ofTransfer(), FaultOrigin.UNKNOWN},
      {Errno.EHOSTUNREACH.ofTransfer(), FaultOrigin.UNKNOWN},
      {Errno.ECONNRESET.ofTransfer(), FaultOrigin.UNKNOWN},
      {new IOException((String) null), FaultOrigin.UNKNOWN},
      {new IllegalStateException("Too many open files, says a program"), FaultOrigin.UNKNOWN},
      {null, FaultOrigin.UNKNOWN},
    };
  }

  @Test(dataProvider = "errors")
  public void classifiesErrorByTypeAndMessage(Throwable error, FaultOrigin origin) {
    assertEquals(FaultOrigin.of(error), origin);
  }

  @Test
  public void addressInUseIsNotTemporaryShortage() {
    assertFalse(
        FaultOrigin.isTemporaryShortage(
            new ExecutionException(new BindException("Address already in use"))));
    assertTrue(FaultOrigin.isTemporaryShortage(new ExecutionException(Errno.EMFILE.ofConnect())));
  }
}

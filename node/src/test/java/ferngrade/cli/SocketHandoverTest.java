package ferngrade.cli;

import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import ferngrade.config.ConfigException;
import java.util.Map;
import org.junit.jupiter.api.Test;

class SocketHandoverTest {
  @Test
  void returnsNoSocketWhenVariableIsNotSet() throws ConfigException {
    assertNull(SocketHandover.fromEnvironment(Map.of()).inheritedListener());
  }

  @Test
  void rejectsDescriptorThatIsNotListeningSocket() {
    // Under the test runner, descriptor 0 is a pipe, not a socket.
    ConfigException notSocket =
        assertThrows(
            ConfigException.class,
            () -> SocketHandover.fromEnvironment(Map.of("LB_ACCEPT_FD", "0")));
    assertTrue(
        notSocket.getMessage().contains("not a listening TCP socket"), notSocket.getMessage());
    ConfigException unsupportedDescriptor =
        assertThrows(
            ConfigException.class,
            () -> SocketHandover.fromEnvironment(Map.of("LB_ACCEPT_FD", "3")));
    assertTrue(
        unsupportedDescriptor.getMessage().contains("only 0"), unsupportedDescriptor.getMessage());
  }
}

package ferngrade.cli;

import ferngrade.config.ConfigException;
import ferngrade.server.NodeServer;
import java.io.IOException;
import java.nio.channels.Channel;
import java.nio.channels.ServerSocketChannel;
import java.nio.file.Files;
import java.nio.file.InvalidPathException;
import java.nio.file.Path;
import java.util.Map;

/**
 * Reads the resources that the platform passes to a process: the listening socket for clients, if
 * {@code LB_ACCEPT_FD} names descriptor 0, and the directory {@code TMPDIR}. The inherited socket
 * stays open during an upgrade, so that no client is refused. The successor process uses the same
 * directory.
 */
public final class SocketHandover {
  private SocketHandover() {}

  /**
   * Returns the resources that these environment variables describe.
   *
   * @throws ConfigException if {@code LB_ACCEPT_FD} names a descriptor other than 0, or descriptor
   *     0 is not a listening TCP socket
   */
  public static NodeServer.Platform fromEnvironment(Map<String, String> environment)
      throws ConfigException {
    return new NodeServer.Platform(
        inheritedSocket(environment.get("LB_ACCEPT_FD")), directory(environment.get("TMPDIR")));
  }

  private static ServerSocketChannel inheritedSocket(String descriptor) throws ConfigException {
    if (descriptor == null || descriptor.isEmpty()) {
      return null;
    }
    if (!descriptor.trim().equals("0")) {
      throw new ConfigException(
          "LB_ACCEPT_FD",
          "names descriptor " + descriptor + "; only 0, standard input, can be taken over");
    }
    Channel inherited;
    try {
      inherited = System.inheritedChannel();
    } catch (IOException | SecurityException unreadable) {
      throw new ConfigException("LB_ACCEPT_FD", "cannot be taken over: " + unreadable.getMessage());
    }
    if (!(inherited instanceof ServerSocketChannel listening)) {
      throw new ConfigException(
          "LB_ACCEPT_FD", "names descriptor 0, which is not a listening TCP socket");
    }
    return listening;
  }

  private static Path directory(String tmpdir) {
    if (tmpdir == null || tmpdir.isEmpty()) {
      return null;
    }
    try {
      Path directory = Path.of(tmpdir);
      return Files.isDirectory(directory) ? directory : null;
    } catch (InvalidPathException invalid) {
      return null;
    }
  }
}

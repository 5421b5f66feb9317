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
 * What the platform hands a process: the clients' listening socket as descriptor 0 where {@code
 * LB_ACCEPT_FD} names it, so that an upgrade never refuses a client, and {@code TMPDIR}, which the
 * next process shares.
 */
public final class SocketHandover {
  private SocketHandover() {}

  /**
   * Reads the variables; a socket named but not handed over is a configuration that cannot be used.
   */
  public static NodeServer.Platform fromEnvironment(Map<String, String> environment)
      throws ConfigException {
    return new NodeServer.Platform(
        accepted(environment.get("LB_ACCEPT_FD")), folder(environment.get("TMPDIR")));
  }

  private static ServerSocketChannel accepted(String descriptor) throws ConfigException {
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

  private static Path folder(String tmpdir) {
    if (tmpdir == null || tmpdir.isEmpty()) {
      return null;
    }
    try {
      Path folder = Path.of(tmpdir);
      return Files.isDirectory(folder) ? folder : null;
    } catch (InvalidPathException invalid) {
      return null;
    }
  }
}

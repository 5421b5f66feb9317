package ferngrade.server;

import ferngrade.config.EndpointListParser;
import ferngrade.config.MaintenanceCodec;
import ferngrade.http.UpgradePeers;
import ferngrade.node.AtomicFile;
import ferngrade.node.FileOperations;
import ferngrade.node.RateLimitedLog;
import ferngrade.node.RequestCoordinator;
import ferngrade.node.SharedLog;
import ferngrade.node.TaskScheduler;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.util.concurrent.Executor;
import java.util.function.Consumer;

/**
 * Holds the files through which the processes of a node share state: a log that all processes
 * append to and follow, and, for processes of an earlier release, the maintenance state and the
 * operators' address of the newest process. A file that cannot be read is logged and ignored, and
 * the node starts without it. Reads run on the caller's thread, writes on a dedicated thread.
 */
final class StateFolder {
  private static final String MAINTENANCE_FILE = "ferngrade-maintenance.json";
  private static final String ADMIN_ADDRESS_FILE = "ferngrade-admin.txt";
  private static final String SHARED_LOG_FILE = "ferngrade-shared.log";

  private final Path folder;
  private final FileOperations files;
  private final TaskScheduler writer;
  private final TaskScheduler appender;
  private final RateLimitedLog log;
  private final Consumer<String> report;
  private final AtomicFile maintenance;
  private final AtomicFile adminAddress;

  /** Opens {@code folder}; {@code report} receives messages about failed writes. */
  StateFolder(Path folder, FileOperations files, RateLimitedLog log, Consumer<String> report) {
    this.folder = folder;
    this.files = files;
    this.log = log;
    this.report = report;
    this.writer = TaskScheduler.onDaemonThread("state-file");
    this.appender = TaskScheduler.onDaemonThread("shared-log");
    this.maintenance = new AtomicFile(folder.resolve(MAINTENANCE_FILE), files, writer, report);
    this.adminAddress = new AtomicFile(folder.resolve(ADMIN_ADDRESS_FILE), files, writer, report);
  }

  /** Returns the file with the maintenance state set by operators. */
  AtomicFile maintenance() {
    return maintenance;
  }

  /** Creates the log shared by all processes of the node; {@link SharedLog} has the parameters. */
  SharedLog sharedLog(Executor loop, Consumer<String> records, Runnable onReplaced) {
    return new SharedLog(
        folder.resolve(SHARED_LOG_FILE),
        files,
        writer,
        appender,
        loop,
        report,
        records,
        onReplaced);
  }

  /** Returns the scheduler for tasks that must not run on the event loop. */
  TaskScheduler scheduler() {
    return writer;
  }

  /** Restores the maintenance state saved by an earlier process of this node, if there is one. */
  void restoreMaintenance(RequestCoordinator coordinator) {
    try {
      String saved = maintenance.read();
      if (saved != null) {
        coordinator.restoreMaintenance(MaintenanceCodec.read(saved));
        log.line("maintenance taken over from an earlier process");
      }
    } catch (IOException | IllegalArgumentException unusable) {
      log.line("maintenance of an earlier process ignored: " + unusable.getMessage());
    }
  }

  /**
   * Reads the operators' address of an earlier process of this node, which may still be running.
   * Must be called before {@link #saveAdminAddress} replaces that address.
   */
  void findEarlierProcess(UpgradePeers upgradePeers) {
    try {
      String earlier = adminAddress.read();
      if (earlier != null) {
        upgradePeers.addAnnounced(EndpointListParser.address(earlier.trim()));
      }
    } catch (IOException | IllegalArgumentException unusable) {
      log.line("address of an earlier process ignored: " + unusable.getMessage());
    }
  }

  /** Saves the operators' address of this process for its successor. */
  void saveAdminAddress(InetSocketAddress address) {
    adminAddress.write(address.getHostString() + ":" + address.getPort(), () -> {});
  }
}

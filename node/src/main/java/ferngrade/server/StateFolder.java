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
 * The files by which the processes of a node share state: a log that all of them append to and
 * follow, and for an earlier release the operators' maintenance and the address at which the newest
 * process takes operators' calls. A file that cannot be read is logged and ignored: the node starts
 * without it. Reads happen on the caller's thread, writes on a thread of their own.
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

  /** Files in {@code folder}; {@code report} gets what goes wrong when they are written. */
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

  /** The file of what operators have put in maintenance. */
  AtomicFile maintenance() {
    return maintenance;
  }

  /** The log that all processes of the node share; see {@link SharedLog} for the parameters. */
  SharedLog sharedLog(Executor loop, Consumer<String> records, Runnable replaced) {
    return new SharedLog(
        folder.resolve(SHARED_LOG_FILE), files, writer, appender, loop, report, records, replaced);
  }

  /** Runs what must not run on the event loop. */
  TaskScheduler scheduler() {
    return writer;
  }

  /** Takes over the maintenance that an earlier process of this node saved, if there is any. */
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
   * Reads where an earlier process of this node takes operators' calls, as it may still run beside
   * this one. Called before {@link #saveAdminAddress} replaces that address.
   */
  void findEarlierProcess(UpgradePeers upgradePeers) {
    try {
      String earlier = adminAddress.read();
      if (earlier != null) {
        upgradePeers.at(EndpointListParser.address(earlier.trim()));
      }
    } catch (IOException | IllegalArgumentException unusable) {
      log.line("address of an earlier process ignored: " + unusable.getMessage());
    }
  }

  /** Saves where this process takes operators' calls, for the next one to read. */
  void saveAdminAddress(InetSocketAddress own) {
    adminAddress.write(own.getHostString() + ":" + own.getPort(), () -> {});
  }
}

package ferngrade.jobstore;

import ferngrade.cli.Cli;
import ferngrade.cli.SubCommand;
import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.Callable;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Parameters;

/** The operator's commands on a store that no node has open. */
@Command(
    name = "store",
    description = "Looks into a store of durable jobs, and mends one.",
    mixinStandardHelpOptions = true,
    subcommands = {
      StoreCommand.Check.class,
      StoreCommand.Dump.class,
      StoreCommand.Stats.class,
      StoreCommand.Repair.class,
      CommandLine.HelpCommand.class
    })
public final class StoreCommand implements SubCommand, Runnable {
  /** The exit code for a store that is damaged. */
  static final int DAMAGED = 1;

  @CommandLine.Spec private CommandLine.Model.CommandSpec spec;

  @Override
  public void run() {
    throw new CommandLine.ParameterException(spec.commandLine(), "a sub-command is missing");
  }

  /** Reads a whole store and prints what it holds. */
  abstract static class Reading implements Callable<Integer> {
    @Parameters(paramLabel = "DIR", description = "The store's folder.")
    private Path folder;

    @Override
    public Integer call() {
      JobTable table = new JobTable(JobTableSettings.REPLAY_ONLY);
      try (FileSystemStorage storage = FileSystemStorage.openReadOnly(folder)) {
        RecoveryReport found = WriteAheadLog.inspect(storage, table::replay);
        show(table, found);
        return 0;
      } catch (CorruptLogException damaged) {
        System.err.println("ferngrade: damaged: " + damaged.getMessage());
        return DAMAGED;
      } catch (IOException unreadable) {
        System.err.println("ferngrade: " + unreadable.getMessage());
        return Cli.BAD_CONFIG;
      }
    }

    abstract void show(JobTable table, RecoveryReport found);
  }

  /** Reports whether all of it can be read. */
  @Command(
      name = "check",
      description = "Says whether all of it can be read; a torn tail is told and is no damage.")
  static final class Check extends Reading {
    @Override
    void show(JobTable table, RecoveryReport found) {
      System.out.printf(
          "sound: %d entries in %d batches, %d jobs%n",
          found.records(), found.batches(), table.jobs().size());
      if (found.tornBytes() > 0) {
        System.out.printf(
            "%s ends in %d bytes of a batch that was never synced%n",
            found.tornFile().orElse(""), found.tornBytes());
      }
    }
  }

  /** Prints every job. */
  @Command(
      name = "dump",
      description = "Prints a line for each job: id, state, class, leases, token, worker, result.")
  static final class Dump extends Reading {
    @Override
    void show(JobTable table, RecoveryReport found) {
      for (Job job : table.jobs()) {
        System.out.printf(
            "%s %s %s leases=%d token=%d worker=%s %s%n",
            job.id(),
            job.state(),
            job.idempotency(),
            job.leases(),
            job.token(),
            job.worker().isEmpty() ? "-" : job.worker(),
            job.result());
      }
    }
  }

  /** Prints counts. */
  @Command(name = "stats", description = "Counts jobs by state, and bytes.")
  static final class Stats extends Reading {
    @Override
    void show(JobTable table, RecoveryReport found) {
      Map<JobState, Integer> counts = new EnumMap<>(JobState.class);
      for (Job job : table.jobs()) {
        counts.merge(job.state(), 1, Integer::sum);
      }
      for (JobState state : JobState.values()) {
        System.out.printf("%-10s %d%n", state, counts.getOrDefault(state, 0));
      }
      System.out.printf(
          "bytes      %d%nentries    %d%nbatches    %d%ntoken      %d%n",
          found.bytes(), found.records(), found.batches(), table.highestToken());
    }
  }

  /** Saves what can be read of a damaged store to a new one. */
  @Command(
      name = "repair",
      description =
          "Writes all that can be read before the damage into a new folder, and says where it"
              + " stopped. If it did, every job without an answer is in doubt, and is not started"
              + " again.")
  static final class Repair implements Callable<Integer> {
    /** More tokens than a damaged part can have granted. */
    private static final long TOKENS_UNSEEN = 1L << 40;

    @Parameters(index = "0", paramLabel = "DIR")
    private Path from;

    @Parameters(index = "1", paramLabel = "NEW-DIR")
    private Path to;

    @Override
    public Integer call() {
      try (FileSystemStorage storage = FileSystemStorage.openReadOnly(from);
          FileSystemStorage repaired = FileSystemStorage.openExclusive(to)) {
        if (!repaired.list().isEmpty()) {
          System.err.println("ferngrade: " + to + " is not empty");
          return Cli.BAD_CONFIG;
        }
        repair(storage, repaired);
        return 0;
      } catch (IOException unreadable) {
        System.err.println("ferngrade: " + unreadable.getMessage());
        return Cli.BAD_CONFIG;
      }
    }

    private static void repair(Storage storage, Storage repaired) throws IOException {
      JobTable table = new JobTable(JobTableSettings.REPLAY_ONLY);
      String stopped = "nothing was damaged";
      boolean damaged = false;
      try {
        WriteAheadLog.inspect(storage, table::replay);
      } catch (CorruptLogException place) {
        damaged = true;
        stopped = "stopped at " + place.getMessage();
      }
      List<LogRecord> saved = new ArrayList<>(table.snapshot());
      if (damaged) {
        saved.addAll(doubtsAfterDamage(table));
      }
      try (WriteAheadLog log = WriteAheadLog.open(repaired, Long.MAX_VALUE, replayed -> {})) {
        log.commit(saved);
      }
      System.out.printf("%d jobs saved, %s%n", table.jobs().size(), stopped);
    }

    /**
     * What came after the damage is unknown: a job that waits may have been leased there, and
     * started.
     */
    private static List<LogRecord> doubtsAfterDamage(JobTable table) {
      List<LogRecord> doubts = new ArrayList<>();
      for (Job job : table.jobs()) {
        if (!job.state().ended()) {
          doubts.add(new LogRecord.Doubted(job.id(), job.token(), job.accepted().atMillis()));
        }
      }
      doubts.add(new LogRecord.Tokens(table.highestToken() + TOKENS_UNSEEN));
      return doubts;
    }
  }
}

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

/** The {@code store} command: inspects and repairs a store that no node has open. */
@Command(
    name = "store",
    description = "Inspects and repairs a store of durable jobs.",
    mixinStandardHelpOptions = true,
    subcommands = {
      StoreCommand.Check.class,
      StoreCommand.Dump.class,
      StoreCommand.Stats.class,
      StoreCommand.Repair.class,
      CommandLine.HelpCommand.class
    })
public final class StoreCommand implements SubCommand, Runnable {
  /** The exit code for a damaged store. */
  static final int DAMAGED = 1;

  @CommandLine.Spec private CommandLine.Model.CommandSpec spec;

  @Override
  public void run() {
    throw new CommandLine.ParameterException(spec.commandLine(), "a sub-command is missing");
  }

  /** A command that reads a whole store and prints a report. */
  abstract static class ReadCommand implements Callable<Integer> {
    @Parameters(paramLabel = "DIR", description = "The store's directory.")
    private Path directory;

    @Override
    public Integer call() {
      JobTable table = new JobTable(JobTableSettings.REPLAY_ONLY);
      try (FileSystemStorage storage = FileSystemStorage.openReadOnly(directory)) {
        RecoveryReport report = WriteAheadLog.inspect(storage, table::replay);
        print(table, report);
        return 0;
      } catch (CorruptLogException damage) {
        System.err.println("ferngrade: damaged: " + damage.getMessage());
        return DAMAGED;
      } catch (IOException failure) {
        System.err.println("ferngrade: " + failure.getMessage());
        return Cli.BAD_CONFIG;
      }
    }

    abstract void print(JobTable table, RecoveryReport report);
  }

  /** Reports whether the whole store is readable. */
  @Command(
      name = "check",
      description =
          "Reports whether the whole store is readable; a torn tail is reported but is not damage.")
  static final class Check extends ReadCommand {
    @Override
    void print(JobTable table, RecoveryReport report) {
      System.out.printf(
          "sound: %d entries in %d batches, %d jobs%n",
          report.records(), report.batches(), table.jobs().size());
      if (report.tornBytes() > 0) {
        System.out.printf(
            "%s ends in %d bytes of a batch that was never synced%n",
            report.tornFile().orElse(""), report.tornBytes());
      }
    }
  }

  /** Prints every job. */
  @Command(
      name = "dump",
      description = "Prints a line for each job: id, state, class, leases, token, worker, result.")
  static final class Dump extends ReadCommand {
    @Override
    void print(JobTable table, RecoveryReport report) {
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

  /** Prints the number of jobs by state and the size of the store. */
  @Command(
      name = "stats",
      description = "Prints the number of jobs by state and the size of the store.")
  static final class Stats extends ReadCommand {
    @Override
    void print(JobTable table, RecoveryReport report) {
      Map<JobState, Integer> counts = new EnumMap<>(JobState.class);
      for (Job job : table.jobs()) {
        counts.merge(job.state(), 1, Integer::sum);
      }
      for (JobState state : JobState.values()) {
        System.out.printf("%-10s %d%n", state, counts.getOrDefault(state, 0));
      }
      System.out.printf(
          "bytes      %d%nentries    %d%nbatches    %d%ntoken      %d%n",
          report.bytes(), report.records(), report.batches(), table.highestToken());
    }
  }

  /** Saves the readable part of a damaged store to a new one. */
  @Command(
      name = "repair",
      description =
          "Writes all data before the first damage to a new directory and reports the position of"
              + " the damage. If there is damage, every job that has not ended is put in doubt and"
              + " is not started again.")
  static final class Repair implements Callable<Integer> {
    /** An upper bound of the number of tokens granted in the damaged part of the log. */
    private static final long MAX_UNSEEN_TOKENS = 1L << 40;

    @Parameters(index = "0", paramLabel = "DIR")
    private Path source;

    @Parameters(index = "1", paramLabel = "NEW-DIR")
    private Path target;

    @Override
    public Integer call() {
      try (FileSystemStorage storage = FileSystemStorage.openReadOnly(source);
          FileSystemStorage repaired = FileSystemStorage.openExclusive(target)) {
        if (!repaired.list().isEmpty()) {
          System.err.println("ferngrade: " + target + " is not empty");
          return Cli.BAD_CONFIG;
        }
        repair(storage, repaired);
        return 0;
      } catch (IOException failure) {
        System.err.println("ferngrade: " + failure.getMessage());
        return Cli.BAD_CONFIG;
      }
    }

    private static void repair(Storage storage, Storage repaired) throws IOException {
      JobTable table = new JobTable(JobTableSettings.REPLAY_ONLY);
      String position = "nothing was damaged";
      boolean damaged = false;
      try {
        WriteAheadLog.inspect(storage, table::replay);
      } catch (CorruptLogException damage) {
        damaged = true;
        position = "stopped at " + damage.getMessage();
      }
      List<LogRecord> saved = new ArrayList<>(table.snapshot());
      if (damaged) {
        saved.addAll(doubtsAfterDamage(table));
      }
      try (WriteAheadLog log = WriteAheadLog.open(repaired, Long.MAX_VALUE, replayed -> {})) {
        log.commit(saved);
      }
      System.out.printf("%d jobs saved, %s%n", table.jobs().size(), position);
    }

    /**
     * Returns records that set every job that has not ended to {@link JobState#IN_DOUBT}. The
     * records after the damage are unknown. They may include the lease and the start of a job that
     * is waiting according to the readable part.
     */
    private static List<LogRecord> doubtsAfterDamage(JobTable table) {
      List<LogRecord> doubts = new ArrayList<>();
      for (Job job : table.jobs()) {
        if (!job.state().ended()) {
          doubts.add(new LogRecord.Doubted(job.id(), job.token(), job.accepted().atMillis()));
        }
      }
      doubts.add(new LogRecord.Tokens(table.highestToken() + MAX_UNSEEN_TOKENS));
      return doubts;
    }
  }
}

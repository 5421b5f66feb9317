package ferngrade.faulttest;

import ferngrade.fleet.FleetFile;
import ferngrade.fleet.MemberProcess;
import ferngrade.fleet.MemberProcess.EmptyFolderPolicy;
import ferngrade.jobstore.Storage;
import ferngrade.node.Clock;
import ferngrade.toml.FileException;
import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.List;
import java.util.concurrent.ExecutionException;

/**
 * Starts a member as {@code ferngrade fleet member} does. While the member runs, faults can be
 * injected into its clocks and its disk. Each line of standard input is a command: {@code jump MS}
 * (of the wall clock), {@code rate R} (of both clocks, relative to real time), {@code fill}, {@code
 * mend} or {@code slow MS} (the duration of each sync).
 */
public final class FaultInjectingMember {
  private static volatile boolean diskFull;
  private static volatile long syncDelayMillis;

  private FaultInjectingMember() {}

  /** Starts the member; the arguments are those of {@code fleet member}. */
  @SuppressWarnings("try")
  public static void main(String[] arguments)
      throws InterruptedException, IOException, FileException, ExecutionException {
    List<String> options = Arrays.asList(arguments);
    String name = options.get(options.indexOf("--name") + 1);
    Path data = Path.of(options.get(options.indexOf("--data") + 1));
    EmptyFolderPolicy emptyFolderPolicy =
        options.contains("--found")
            ? EmptyFolderPolicy.FOUND
            : options.contains("--rejoin") ? EmptyFolderPolicy.REJOIN : EmptyFolderPolicy.STOP;
    Clocks clocks = new Clocks();
    MemberProcess member =
        new MemberProcess(
            FleetFile.read(Path.of(options.get(2))),
            name,
            new MemberProcess.Environment(
                data,
                emptyFolderPolicy,
                FaultInjectingMember::injectFaults,
                clocks::monotonic,
                clocks::wall,
                line -> System.out.printf("%.3f %s %s%n", clocks.monotonic() / 1000, name, line)));
    Thread commands = new Thread(() -> readCommands(clocks), "orders");
    commands.setDaemon(true);
    commands.start();
    member.runToEnd();
  }

  private static void readCommands(Clocks clocks) {
    try (BufferedReader lines =
        new BufferedReader(new InputStreamReader(System.in, StandardCharsets.UTF_8))) {
      for (String line = lines.readLine(); line != null; line = lines.readLine()) {
        String[] words = line.split(" ", 0);
        switch (words[0]) {
          case "jump" -> clocks.jump(Long.parseLong(words[1]));
          case "rate" -> clocks.rate(Double.parseDouble(words[1]));
          case "fill" -> diskFull = true;
          case "mend" -> diskFull = false;
          case "slow" -> syncDelayMillis = Long.parseLong(words[1]);
          default -> System.out.println("unknown command: " + line);
        }
      }
    } catch (IOException closed) {
      // The harness has closed standard input.
    }
  }

  /** Clocks that run at a configurable rate; the wall clock can also jump. */
  private static final class Clocks {
    private long rateSetAt = System.nanoTime();
    private double monotonicAtRateChange;
    private double rate = 1;
    private double wallOffset = Clock.system().wall();

    synchronized double monotonic() {
      return monotonicAtRateChange + (System.nanoTime() - rateSetAt) / 1e6 * rate;
    }

    synchronized long wall() {
      return (long) (wallOffset + monotonic());
    }

    synchronized void jump(long millis) {
      wallOffset += millis;
    }

    synchronized void rate(double newRate) {
      monotonicAtRateChange = monotonic();
      rateSetAt = System.nanoTime();
      rate = newRate;
    }
  }

  /** Wraps a disk that can become full or slow. */
  private static Storage injectFaults(Storage disk) {
    return new Storage() {
      @Override
      public List<String> list() throws IOException {
        return disk.list();
      }

      @Override
      public byte[] read(String file) throws IOException {
        return disk.read(file);
      }

      @Override
      public Appender create(String file) throws IOException {
        return injectFaults(disk.create(file));
      }

      @Override
      public void rename(String oldName, String newName) throws IOException {
        disk.rename(oldName, newName);
      }

      @Override
      public void delete(String file) throws IOException {
        disk.delete(file);
      }

      @Override
      public void syncDirectory() throws IOException {
        disk.syncDirectory();
      }
    };
  }

  private static Storage.Appender injectFaults(Storage.Appender delegate) {
    return new Storage.Appender() {
      @Override
      public void append(byte[] bytes, int length) throws IOException {
        if (diskFull) {
          // A full disk writes only a part of the data before the write fails.
          delegate.append(bytes, length / 2);
          throw new IOException("No space left on device");
        }
        delegate.append(bytes, length);
      }

      @Override
      public void sync() throws IOException {
        try {
          Thread.sleep(syncDelayMillis);
        } catch (InterruptedException interrupted) {
          Thread.currentThread().interrupt();
        }
        delegate.sync();
      }

      @Override
      public void close() throws IOException {
        delegate.close();
      }
    };
  }
}

package ferngrade.faulttest;

import ferngrade.fleet.FleetFile;
import ferngrade.fleet.MemberProcess;
import ferngrade.fleet.MemberProcess.Empty;
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
 * Starts a member as {@code ferngrade fleet member} does, on clocks and a disk that can be hurt
 * while it runs: a line of standard input is {@code jump MS} (of the wall's clock), {@code rate R}
 * (of both, times the true one), {@code fill}, {@code mend} or {@code slow MS} (each sync).
 */
public final class FaultInjectingMember {
  private static volatile boolean full;
  private static volatile long slow;

  private FaultInjectingMember() {}

  /** The arguments of {@code fleet member}. */
  @SuppressWarnings("try")
  public static void main(String[] arguments)
      throws InterruptedException, IOException, FileException, ExecutionException {
    List<String> all = Arrays.asList(arguments);
    String name = all.get(all.indexOf("--name") + 1);
    Path data = Path.of(all.get(all.indexOf("--data") + 1));
    Empty empty =
        all.contains("--found")
            ? Empty.FOUND
            : all.contains("--rejoin") ? Empty.REJOIN : Empty.STOP;
    Clocks clocks = new Clocks();
    MemberProcess member =
        new MemberProcess(
            FleetFile.read(Path.of(all.get(2))),
            name,
            new MemberProcess.Start(
                data,
                empty,
                FaultInjectingMember::hurt,
                clocks::monotonic,
                clocks::wall,
                line -> System.out.printf("%.3f %s %s%n", clocks.monotonic() / 1000, name, line)));
    Thread orders = new Thread(() -> obey(clocks), "orders");
    orders.setDaemon(true);
    orders.start();
    member.runToEnd();
  }

  private static void obey(Clocks clocks) {
    try (BufferedReader lines =
        new BufferedReader(new InputStreamReader(System.in, StandardCharsets.UTF_8))) {
      for (String line = lines.readLine(); line != null; line = lines.readLine()) {
        String[] words = line.split(" ", 0);
        switch (words[0]) {
          case "jump" -> clocks.jump(Long.parseLong(words[1]));
          case "rate" -> clocks.rate(Double.parseDouble(words[1]));
          case "fill" -> full = true;
          case "mend" -> full = false;
          case "slow" -> slow = Long.parseLong(words[1]);
          default -> System.out.println("no such order: " + line);
        }
      }
    } catch (IOException ended) {
      // Nobody gives orders any more.
    }
  }

  /** Clocks that run at a rate of their own, the wall's jumping besides. */
  private static final class Clocks {
    private long from = System.nanoTime();
    private double base;
    private double rate = 1;
    private double jumped = Clock.system().wall();

    synchronized double monotonic() {
      return base + (System.nanoTime() - from) / 1e6 * rate;
    }

    synchronized long wall() {
      return (long) (jumped + monotonic());
    }

    synchronized void jump(long millis) {
      jumped += millis;
    }

    synchronized void rate(double next) {
      base = monotonic();
      from = System.nanoTime();
      rate = next;
    }
  }

  /** The disk, which is full or slow when told. */
  private static Storage hurt(Storage disk) {
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
        return hurt(disk.create(file));
      }

      @Override
      public void rename(String old, String next) throws IOException {
        disk.rename(old, next);
      }

      @Override
      public void delete(String file) throws IOException {
        disk.delete(file);
      }

      @Override
      public void syncNames() throws IOException {
        disk.syncNames();
      }
    };
  }

  private static Storage.Appender hurt(Storage.Appender to) {
    return new Storage.Appender() {
      @Override
      public void append(byte[] bytes, int length) throws IOException {
        if (full) {
          // A part of it fits.
          to.append(bytes, length / 2);
          throw new IOException("No space left on device");
        }
        to.append(bytes, length);
      }

      @Override
      public void sync() throws IOException {
        try {
          Thread.sleep(slow);
        } catch (InterruptedException ending) {
          Thread.currentThread().interrupt();
        }
        to.sync();
      }

      @Override
      public void close() throws IOException {
        to.close();
      }
    };
  }
}

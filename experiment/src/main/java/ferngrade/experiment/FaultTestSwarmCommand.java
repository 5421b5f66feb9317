package ferngrade.experiment;

import ferngrade.faulttest.VirtualSwarm;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.Callable;
import java.util.stream.LongStream;
import org.knowm.xchart.BitmapEncoder;
import org.knowm.xchart.XYChart;
import org.knowm.xchart.XYChartBuilder;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;

/** What membership costs and how soon it notices, by the number of members, in virtual time. */
@Command(
    name = "swarm",
    description =
        "Measures membership in virtual time: bytes and CPU of a member, how soon an end is"
            + " noticed, false suspicions under loss.",
    mixinStandardHelpOptions = true)
final class FaultTestSwarmCommand implements Callable<Integer> {
  private static final double STEADY_MS = 30_000;
  private static final double HOUR_MS = 3_600_000;

  @Option(
      names = "--sizes",
      paramLabel = "N,N",
      split = ",",
      description = "Members; 10, 100 and 300 if left out.")
  private List<Integer> sizes = List.of(10, 100, 300);

  @Option(names = "--seeds", paramLabel = "N")
  private int seeds = 5;

  @Option(
      names = "--loss",
      paramLabel = "SHARE",
      description = "Share of datagrams lost for the hour; 0.05 if left out.")
  private double loss = 0.05;

  @Option(
      names = "--lossy",
      paramLabel = "N,N",
      split = ",",
      description = "Members for the hour with loss; 10, 100.")
  private List<Integer> lossy = List.of(10, 100);

  @Option(
      names = "--out",
      paramLabel = "DIR",
      required = true,
      description = "Where the table and the chart go.")
  private Path out;

  @Override
  public Integer call() throws IOException {
    Files.createDirectories(out);
    List<String> rows = new ArrayList<>();
    rows.add(
        "members,bytes_a_second,datagrams_a_second,cpu_ms_a_second,noticed_p50_ms,noticed_most_ms");
    List<Double> noticed = new ArrayList<>();
    for (int size : sizes) {
      long began = System.nanoTime();
      VirtualSwarm.Result steady = VirtualSwarm.playLoss(size, 1, 0, STEADY_MS);
      // The run in virtual time is one thread; the ten seconds in which all join are counted with
      // it.
      double cpu = (System.nanoTime() - began) / 1e6 / size / ((STEADY_MS + 10_000) / 1000);
      double[] found =
          LongStream.rangeClosed(1, seeds)
              .parallel()
              .mapToDouble(seed -> VirtualSwarm.playKill(size, seed).lastFound())
              .sorted()
              .toArray();
      noticed.add(found[found.length / 2]);
      rows.add(
          String.format(
              Locale.ROOT,
              "%d,%.0f,%.1f,%.3f,%.0f,%.0f",
              size,
              steady.bytes() / (STEADY_MS / 1000) / size,
              steady.datagrams() / (STEADY_MS / 1000) / size,
              cpu,
              found[found.length / 2],
              found[found.length - 1]));
    }
    write("cost.csv", rows);
    List<String> hours = new ArrayList<>();
    hours.add("members,seed,loss,false_suspicions_an_hour,false_ends_an_hour");
    lossy.forEach(
        size ->
            LongStream.rangeClosed(1, seeds)
                .parallel()
                .mapToObj(
                    seed -> {
                      VirtualSwarm.Result hour = VirtualSwarm.playLoss(size, seed, loss, HOUR_MS);
                      return String.format(
                          Locale.ROOT,
                          "%d,%d,%.2f,%d,%d",
                          size,
                          seed,
                          loss,
                          hour.suspicions(),
                          hour.falseEnds());
                    })
                .forEachOrdered(hours::add));
    write("loss.csv", hours);
    XYChart chart =
        new XYChartBuilder()
            .width(700)
            .height(400)
            .title("Until the last member has noticed an end")
            .xAxisTitle("members")
            .yAxisTitle("ms, median")
            .build();
    chart.getStyler().setXAxisLogarithmic(true);
    chart.addSeries("median of " + seeds + " seeds", sizes, noticed);
    BitmapEncoder.saveBitmap(
        chart, out.resolve("noticed").toString(), BitmapEncoder.BitmapFormat.PNG);
    return 0;
  }

  private void write(String file, List<String> rows) {
    rows.forEach(System.out::println);
    try {
      Files.write(out.resolve(file), rows);
    } catch (IOException unwritable) {
      throw new UncheckedIOException(unwritable);
    }
  }
}

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

/**
 * Measures the cost of membership, the time to detect a failed member and the rate of false
 * suspicions in virtual time, by the number of members.
 */
@Command(
    name = "swarm",
    description =
        "Measures membership in virtual time: bytes and CPU time per member, time to detect a"
            + " failed member, and false suspicions under packet loss.",
    mixinStandardHelpOptions = true)
final class FaultTestSwarmCommand implements Callable<Integer> {
  private static final double STEADY_MILLIS = 30_000;
  private static final double HOUR_MILLIS = 3_600_000;

  @Option(
      names = "--sizes",
      paramLabel = "N,N",
      split = ",",
      description = "The numbers of members; default 10,100,300.")
  private List<Integer> sizes = List.of(10, 100, 300);

  @Option(names = "--seeds", paramLabel = "N")
  private int seeds = 5;

  @Option(
      names = "--loss",
      paramLabel = "SHARE",
      description = "The share of datagrams lost in the hour with loss; default 0.05.")
  private double loss = 0.05;

  @Option(
      names = "--lossy",
      paramLabel = "N,N",
      split = ",",
      description = "The numbers of members for the hour with loss; default 10,100.")
  private List<Integer> lossy = List.of(10, 100);

  @Option(
      names = "--out",
      paramLabel = "DIR",
      required = true,
      description = "The folder for the tables and the chart.")
  private Path out;

  @Override
  public Integer call() throws IOException {
    Files.createDirectories(out);
    List<String> rows = new ArrayList<>();
    rows.add(
        "members,bytes_a_second,datagrams_a_second,cpu_ms_a_second,noticed_p50_ms,noticed_most_ms");
    List<Double> medianDetectionMillis = new ArrayList<>();
    for (int size : sizes) {
      long startNanos = System.nanoTime();
      VirtualSwarm.Result steady = VirtualSwarm.runWithLoss(size, 1, 0, STEADY_MILLIS);
      // The run in virtual time uses one thread, and includes the ten seconds in which all members
      // join.
      double cpuMillis =
          (System.nanoTime() - startNanos) / 1e6 / size / ((STEADY_MILLIS + 10_000) / 1000);
      double[] detectionMillis =
          LongStream.rangeClosed(1, seeds)
              .parallel()
              .mapToDouble(seed -> VirtualSwarm.runWithCrash(size, seed).detectionMillis())
              .sorted()
              .toArray();
      medianDetectionMillis.add(detectionMillis[detectionMillis.length / 2]);
      rows.add(
          String.format(
              Locale.ROOT,
              "%d,%.0f,%.1f,%.3f,%.0f,%.0f",
              size,
              steady.bytes() / (STEADY_MILLIS / 1000) / size,
              steady.datagrams() / (STEADY_MILLIS / 1000) / size,
              cpuMillis,
              detectionMillis[detectionMillis.length / 2],
              detectionMillis[detectionMillis.length - 1]));
    }
    write("cost.csv", rows);
    List<String> lossRows = new ArrayList<>();
    lossRows.add("members,seed,loss,false_suspicions_an_hour,false_ends_an_hour");
    lossy.forEach(
        size ->
            LongStream.rangeClosed(1, seeds)
                .parallel()
                .mapToObj(
                    seed -> {
                      VirtualSwarm.Result lossRun =
                          VirtualSwarm.runWithLoss(size, seed, loss, HOUR_MILLIS);
                      return String.format(
                          Locale.ROOT,
                          "%d,%d,%.2f,%d,%d",
                          size,
                          seed,
                          loss,
                          lossRun.suspicions(),
                          lossRun.falseFailures());
                    })
                .forEachOrdered(lossRows::add));
    write("loss.csv", lossRows);
    XYChart chart =
        new XYChartBuilder()
            .width(700)
            .height(400)
            .title("Time until every member has detected a failure")
            .xAxisTitle("members")
            .yAxisTitle("ms, median")
            .build();
    chart.getStyler().setXAxisLogarithmic(true);
    chart.addSeries("median of " + seeds + " seeds", sizes, medianDetectionMillis);
    BitmapEncoder.saveBitmap(
        chart, out.resolve("noticed").toString(), BitmapEncoder.BitmapFormat.PNG);
    return 0;
  }

  private void write(String file, List<String> rows) {
    rows.forEach(System.out::println);
    try {
      Files.write(out.resolve(file), rows);
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }
}

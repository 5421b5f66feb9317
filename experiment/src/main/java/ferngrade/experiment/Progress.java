package ferngrade.experiment;

import java.util.function.Consumer;
import me.tongfei.progressbar.ProgressBar;
import me.tongfei.progressbar.ProgressBarBuilder;
import me.tongfei.progressbar.ProgressBarStyle;

/**
 * Reports the progress of an experiment: a progress bar on a terminal, otherwise one line for each
 * tenth of the trials.
 */
final class Progress implements AutoCloseable {
  private final Consumer<String> output;
  private final int total;
  private final ProgressBar bar;
  private int finished;

  Progress(String name, int total, boolean terminal, Consumer<String> output) {
    this.output = output;
    this.total = total;
    this.bar =
        terminal
            ? new ProgressBarBuilder()
                .setTaskName(name)
                .setInitialMax(total)
                .setStyle(ProgressBarStyle.ASCII)
                .build()
            : null;
  }

  void step() {
    finished++;
    if (bar != null) {
      bar.step();
    } else if (finished == total || finished * 10 / total > (finished - 1) * 10 / total) {
      output.accept(finished + " of " + total + " runs");
    }
  }

  @Override
  public void close() {
    if (bar != null) {
      bar.close();
    }
  }
}

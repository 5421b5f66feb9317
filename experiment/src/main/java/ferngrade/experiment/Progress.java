package ferngrade.experiment;

import java.util.function.Consumer;
import me.tongfei.progressbar.ProgressBar;
import me.tongfei.progressbar.ProgressBarBuilder;
import me.tongfei.progressbar.ProgressBarStyle;

/** Says how far an experiment is: a bar on a terminal, a line for each tenth elsewhere. */
final class Progress implements AutoCloseable {
  private final Consumer<String> lines;
  private final int all;
  private final ProgressBar bar;
  private int done;

  Progress(String name, int all, boolean terminal, Consumer<String> lines) {
    this.lines = lines;
    this.all = all;
    this.bar =
        terminal
            ? new ProgressBarBuilder()
                .setTaskName(name)
                .setInitialMax(all)
                .setStyle(ProgressBarStyle.ASCII)
                .build()
            : null;
  }

  void step() {
    done++;
    if (bar != null) {
      bar.step();
    } else if (done == all || done * 10 / all > (done - 1) * 10 / all) {
      lines.accept(done + " of " + all + " runs");
    }
  }

  @Override
  public void close() {
    if (bar != null) {
      bar.close();
    }
  }
}

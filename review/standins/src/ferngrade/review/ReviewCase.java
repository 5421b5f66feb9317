package ferngrade.review;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;

/** Runs one case and ends the process with the exit code of its script. */
public final class ReviewCase {
  private static final int HELD = 0;
  private static final int BROKEN = 1;
  private static final int COULD_NOT_RUN = 2;

  private ReviewCase() {}

  /** The steps of a case. */
  @FunctionalInterface
  public interface Steps {
    /** Runs the case with or without its disruption; returns true if the rule held. */
    boolean run(Deployment deployment, RunRecord record, boolean trouble) throws Exception;
  }

  /** Runs a case from its script's arguments: the root, the record, a temporary folder. */
  public static void run(String[] arguments, Steps steps) throws IOException {
    boolean trouble = !"0".equals(System.getenv("TROUBLE"));
    Path folder = Path.of(arguments[2]);
    int exitCode;
    try (RunRecord record = new RunRecord(Path.of(arguments[1]))) {
      try {
        boolean held = steps.run(new Deployment(Path.of(arguments[0]), folder), record, trouble);
        record.line("%s", held ? "the rule held" : "THE RULE WAS BROKEN");
        exitCode = held ? HELD : BROKEN;
      } catch (Exception failed) {
        record.line("the case could not run: %s", failed);
        exitCode = COULD_NOT_RUN;
      }
      Path log = folder.resolve("node.log");
      if (Files.exists(log)) {
        Files.readAllLines(log).forEach(line -> record.line("node: %s", line));
      }
    }
    System.exit(exitCode);
  }
}

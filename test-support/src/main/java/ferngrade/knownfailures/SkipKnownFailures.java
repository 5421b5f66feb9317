package ferngrade.knownfailures;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import org.junit.jupiter.api.extension.ConditionEvaluationResult;
import org.junit.jupiter.api.extension.ExecutionCondition;
import org.junit.jupiter.api.extension.ExtensionContext;

/**
 * Skips tests that are in the list of known failures. An entry is a line {@code CLASS | cause |
 * issue}, or {@code CLASS#method | cause | issue}, in {@value #LIST_FILE} at the root of the
 * repository. If the system property {@value #RUN_PROPERTY} is true, the listed tests run.
 */
public final class SkipKnownFailures implements ExecutionCondition {
  /** The system property that enables the listed tests if it is true. */
  public static final String RUN_PROPERTY = "known-failures.run";

  private static final String LIST_FILE = "KNOWN-RED.txt";
  private static final String SEPARATOR = " | ";

  @Override
  public ConditionEvaluationResult evaluateExecutionCondition(ExtensionContext context) {
    if (Boolean.getBoolean(RUN_PROPERTY)) {
      return ConditionEvaluationResult.enabled("known failures are run");
    }
    String className = context.getRequiredTestClass().getName();
    String testName =
        context
            .getTestMethod()
            .map(testMethod -> className + "#" + testMethod.getName())
            .orElse(className);
    return lines().stream()
        .filter(line -> isEntryFor(line, className) || isEntryFor(line, testName))
        .findFirst()
        .map(line -> ConditionEvaluationResult.disabled("known failure: " + line))
        .orElse(ConditionEvaluationResult.enabled("not listed"));
  }

  /** Returns true if this line of the list is the entry for this test class or test method. */
  static boolean isEntryFor(String line, String test) {
    return line.startsWith(test + SEPARATOR);
  }

  /**
   * Returns the lines of the list, or an empty list if there is no such file. Searches the current
   * folder and its parents, because the tests of a module run in the module's folder.
   */
  private static List<String> lines() {
    Path folder = Path.of("").toAbsolutePath();
    while (folder != null && !Files.exists(folder.resolve(LIST_FILE))) {
      folder = folder.getParent();
    }
    try {
      return folder == null ? List.of() : Files.readAllLines(folder.resolve(LIST_FILE));
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }
}

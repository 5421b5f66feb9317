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
 * Skips a test that the list of known failures names: a line {@code CLASS | cause | issue}, or
 * {@code CLASS#method | cause | issue}, in {@value #LIST} at the root of the repository. The system
 * property {@value #RUN_PROPERTY} set to true runs them all the same.
 */
public final class SkipKnownFailures implements ExecutionCondition {
  /** The system property that has listed tests run. */
  public static final String RUN_PROPERTY = "known-failures.run";

  private static final String LIST = "KNOWN-RED.txt";
  private static final String SEPARATOR = " | ";

  @Override
  public ConditionEvaluationResult evaluateExecutionCondition(ExtensionContext context) {
    if (Boolean.getBoolean(RUN_PROPERTY)) {
      return ConditionEvaluationResult.enabled("known failures are run");
    }
    String type = context.getRequiredTestClass().getName();
    String method = context.getTestMethod().map(each -> type + "#" + each.getName()).orElse(type);
    return lines().stream()
        .filter(line -> names(line, type) || names(line, method))
        .findFirst()
        .map(line -> ConditionEvaluationResult.disabled("known failure: " + line))
        .orElse(ConditionEvaluationResult.enabled("not listed"));
  }

  /** True if this line of the list is about this test, a class or a method of one. */
  static boolean names(String line, String test) {
    return line.startsWith(test + SEPARATOR);
  }

  /** The list's lines; the folder of a module stands below the one that holds the list. */
  private static List<String> lines() {
    Path folder = Path.of("").toAbsolutePath();
    while (folder != null && !Files.exists(folder.resolve(LIST))) {
      folder = folder.getParent();
    }
    try {
      return folder == null ? List.of() : Files.readAllLines(folder.resolve(LIST));
    } catch (IOException unreadable) {
      throw new UncheckedIOException(unreadable);
    }
  }
}

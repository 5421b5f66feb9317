package ferngrade.experiment;

import com.fasterxml.jackson.databind.JsonNode;
import ferngrade.emulator.Mutation;
import ferngrade.emulator.Scenario;
import java.util.List;
import java.util.Map;

/**
 * An experiment: a scenario, or one scenario per combination of swept parameters, to run under each
 * policy and with each seed. {@code source} is the parsed file; {@link Search} modifies a copy of
 * it and reads the copy again.
 */
public record Experiment(
    String name,
    String title,
    List<Point> points,
    List<String> policies,
    List<Long> seeds,
    Mutation mutation,
    JsonNode source) {
  /**
   * One combination of the swept parameters, with the keys and values as they are written in the
   * file, and the scenario that results from it.
   */
  public record Point(Map<String, String> parameters, Scenario scenario) {
    /**
     * Returns the parameters as {@code key=value} pairs separated by commas, or an empty string if
     * nothing is swept.
     */
    public String label() {
      StringBuilder label = new StringBuilder();
      parameters.forEach(
          (key, value) ->
              label.append(label.isEmpty() ? "" : ", ").append(key).append('=').append(value));
      return label.toString();
    }
  }

  /** Returns the number of trials: one for each point, policy and seed. */
  public int trials() {
    return points.size() * policies.size() * seeds.size();
  }
}

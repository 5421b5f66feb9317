package ferngrade.experiment;

import com.fasterxml.jackson.databind.JsonNode;
import ferngrade.emulator.Mutation;
import ferngrade.emulator.Scenario;
import java.util.List;
import java.util.Map;

/**
 * What is to be tried: a scenario, or several where parameters are swept, under some policies and
 * with some seeds. {@code source} is the file as it was read, for those that change it and read it
 * again.
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
   * One setting of the swept parameters, in the file's own words, and the scenario that it makes.
   */
  public record Point(Map<String, String> parameters, Scenario scenario) {
    /** The parameters in one word; empty where nothing is swept. */
    public String label() {
      StringBuilder label = new StringBuilder();
      parameters.forEach(
          (key, value) ->
              label.append(label.isEmpty() ? "" : ", ").append(key).append('=').append(value));
      return label.toString();
    }
  }

  /** The runs that this asks for. */
  public int trials() {
    return points.size() * policies.size() * seeds.size();
  }
}

package ferngrade.http;

import com.eclipsesource.json.Json;
import com.eclipsesource.json.JsonObject;
import com.eclipsesource.json.JsonValue;
import com.eclipsesource.json.ParseException;
import ferngrade.dispatch.LoadReport;
import ferngrade.node.WorkerCallback;
import java.util.Locale;

/** Parses the callbacks of workers. */
final class WorkerCallbackParser {
  private WorkerCallbackParser() {}

  static WorkerCallback parse(String body) throws BadRequestException {
    try {
      JsonObject json = Json.parse(body).asObject();
      WorkerCallback.State state =
          WorkerCallback.State.valueOf(text(json, "state").toUpperCase(Locale.ROOT));
      JsonValue result = json.get("result");
      if (state == WorkerCallback.State.DONE && result == null) {
        throw new BadRequestException("a job that is done has a result");
      }
      String resultText =
          result == null ? "" : result.isString() ? result.asString() : result.toString();
      return new WorkerCallback(
          text(json, "id"),
          text(json, "from"),
          state,
          json.getDouble("share", 0),
          resultText,
          load(json.get("load")));
    } catch (ParseException | UnsupportedOperationException | IllegalArgumentException malformed) {
      throw new BadRequestException("not a call-back");
    }
  }

  private static String text(JsonObject json, String field) throws BadRequestException {
    JsonValue value = json.get(field);
    if (value == null) {
      throw new BadRequestException("a call-back has a field " + field);
    }
    return value.asString();
  }

  /**
   * Parses the load report. A report that cannot be parsed is ignored, so that the rest of the
   * callback still counts.
   */
  private static LoadReport load(JsonValue load) {
    return load == null || !load.isObject()
        ? LoadReport.NONE
        : new LoadReport(
            number(load, "x0"),
            number(load, "x1"),
            number(load, "queue"),
            number(load, "inflight"));
  }

  private static double number(JsonValue load, String field) {
    JsonValue value = load.asObject().get(field);
    return value == null || !value.isNumber() ? Double.NaN : value.asDouble();
  }
}

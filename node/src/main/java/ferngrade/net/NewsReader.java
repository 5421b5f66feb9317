package ferngrade.net;

import com.eclipsesource.json.Json;
import com.eclipsesource.json.JsonObject;
import com.eclipsesource.json.JsonValue;
import com.eclipsesource.json.ParseException;
import ferngrade.Dispatcher.Report;
import ferngrade.node.News;
import java.util.Locale;

/** Reads workers' call-backs. */
final class NewsReader {
    private NewsReader() { }

    static News read(String body) throws BadRequestException {
        try {
            JsonObject json = Json.parse(body).asObject();
            News.State state = News.State.valueOf(text(json, "state").toUpperCase(Locale.ROOT));
            JsonValue result = json.get("result");
            if (state == News.State.DONE && result == null) {
                throw new BadRequestException("a job that is done has a result");
            }
            String given = result == null ? "" : result.isString() ? result.asString() : result.toString();
            return new News(text(json, "id"), text(json, "from"), state,
                    json.getDouble("share", 0), given, load(json.get("load")));
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

    private static Report load(JsonValue load) {
        if (load == null || load.isNull()) {
            return Report.NONE;
        }
        JsonObject fields = load.asObject();
        return new Report(fields.getDouble("x0", Double.NaN), fields.getDouble("x1", Double.NaN),
                fields.getDouble("queue", Double.NaN), fields.getDouble("inflight", Double.NaN));
    }
}

package ferngrade.config;

import com.eclipsesource.json.Json;
import com.eclipsesource.json.JsonObject;
import com.eclipsesource.json.JsonValue;
import ferngrade.node.DiscoveryRecord;
import ferngrade.node.DrainRecord;
import ferngrade.node.FinishingRecord;
import ferngrade.node.MaintenanceEntry;
import ferngrade.node.ProcessRecord;
import ferngrade.node.SharedRecord;
import java.net.InetSocketAddress;

/**
 * Encodes the records that the processes of one node exchange. Each record is a JSON object on one
 * line, depending on its type {@code {"worker":name,"version":n,"out":true}}, {@code
 * {"worker":name,"version":n,"returned":ms since 1970}}, {@code {"drained":true,"version":n}},
 * {@code {"discovery":address,"former":address}}, {@code {"finishing":pid}} or {@code
 * {"pid":n,"operators":address,"first":true}}.
 */
public final class SharedRecordCodec {
  private SharedRecordCodec() {}

  /** Returns the text of the record, without line feeds. */
  public static String write(SharedRecord record) {
    if (record instanceof MaintenanceEntry entry) {
      JsonObject json = new JsonObject().add("worker", entry.worker());
      json.add("version", entry.version());
      return (entry.inMaintenance()
              ? json.add("out", true)
              : json.add("returned", entry.returnedAt()))
          .toString();
    }
    if (record instanceof DrainRecord drain) {
      return new JsonObject()
          .add("drained", drain.drained())
          .add("version", drain.version())
          .toString();
    }
    if (record instanceof DiscoveryRecord discovery) {
      return new JsonObject()
          .add("discovery", text(discovery.current()))
          .add("former", text(discovery.former()))
          .toString();
    }
    if (record instanceof FinishingRecord finishing) {
      return new JsonObject().add("finishing", finishing.pid()).toString();
    }
    ProcessRecord process = (ProcessRecord) record;
    return new JsonObject()
        .add("pid", process.pid())
        .add("operators", text(process.operators()))
        .add("first", process.first())
        .toString();
  }

  private static String text(InetSocketAddress address) {
    return address.getHostString() + ":" + address.getPort();
  }

  private static InetSocketAddress address(JsonObject json, String field) {
    return EndpointListParser.address(json.get(field).asString());
  }

  /**
   * Parses the text of a record; returns null for a record type of a later release.
   *
   * @throws IllegalArgumentException if the text is not a valid record
   */
  public static SharedRecord read(String text) {
    try {
      JsonObject json = Json.parse(text).asObject();
      JsonValue worker = json.get("worker");
      if (worker != null) {
        long version = json.get("version").asLong();
        return new MaintenanceEntry(
            worker.asString(),
            version,
            json.getBoolean("out", false),
            json.getDouble("returned", 0));
      }
      if (json.get("drained") != null) {
        return new DrainRecord(json.get("version").asLong(), json.get("drained").asBoolean());
      }
      if (json.get("operators") != null) {
        return new ProcessRecord(
            json.get("pid").asLong(), address(json, "operators"), json.getBoolean("first", false));
      }
      if (json.get("finishing") != null) {
        return new FinishingRecord(json.get("finishing").asLong());
      }
      if (json.get("discovery") != null) {
        return new DiscoveryRecord(address(json, "former"), address(json, "discovery"));
      }
      return null;
    } catch (RuntimeException malformed) {
      throw new IllegalArgumentException(
          "not a shared record: " + malformed.getMessage(), malformed);
    }
  }
}

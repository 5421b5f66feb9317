package ferngrade.config;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;
import static org.testng.Assert.expectThrows;

import com.eclipsesource.json.Json;
import com.eclipsesource.json.JsonObject;
import ferngrade.dispatch.Idempotency;
import ferngrade.dispatch.WorkerState;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests parsing of valid and invalid configurations. */
public class NodeConfigTest {
  private static final String VALID_CONFIG =
      """
{"name":"n1","listen":"127.0.0.1:0","discovery":"127.0.0.1:8500","seed":"8c1f30d27a5be964",
 "limits":{"sockets":512},"peer_listen":"127.0.0.1:0","peers":["127.0.0.1:7946","127.0.0.2:7946"],
 "known":{"revision":4,"complete":true,"members":[{"id":"s-1","host_port":"127.0.0.1:81",
   "locality":"b","flavor":"slow","cell":3,"phase":"leaving","size":2.5,"up_since_ms":7}]},
 "settings":{"Me":1,"Balancers":2,"Locality":1,"Zones":["a","b"],"Kinds":["fast","slow"],
   "Ceilings":{"MostTries":5,"ConnIdle":60000.0,"RetryAfter":true,"MaxRetryAfter":2000.0},
   "Extra":{"ClassStretch":[2.0,1.75]},
   "Classes":[{"Name":"plan","Effect":"deduplicated","KeyScope":"all","GoalTime":750.0},
              {"Name":"order","Effect":"at_most_once"}]}}""";

  @Test
  public void mapsNestedSettingsToDispatcherSettings() throws ConfigException {
    NodeConfig config = NodeConfig.read(Json.parse(VALID_CONFIG).asObject());
    assertEquals(config.settings().classes().size(), 2);
    assertEquals(config.settings().classes().get(0).idempotency(), Idempotency.KEYED);
    assertEquals(config.settings().classes().get(1).latencyObjectiveFactor(), 1.75);
    assertEquals(config.settings().limits().maxRetryAfterMs(), 2000.0);
    assertEquals(config.connectionIdle(), 60000.0);
    assertEquals(config.sockets(), 512);
    assertEquals(config.peers().size(), 2);
    var member = config.known().members().get(0);
    assertEquals(member.worker().state(), WorkerState.DRAINING);
    assertEquals(member.worker().zone(), 1);
    assertEquals(member.worker().workerType(), 1);
    assertEquals(member.worker().startedAt(), 7.0);
  }

  /** Guards against reporting an unchanged file as changed, or a changed file as unchanged. */
  @Test
  public void comparesSettingsByPathInAnyOrder() throws ConfigException {
    NodeConfig config = NodeConfig.read(Json.parse(VALID_CONFIG).asObject());
    String reordered =
        VALID_CONFIG
            .replace("\"Me\":1,", "")
            .replace("\"Locality\":1,", "\"Locality\":1,\"Me\":1,")
            .replace("8500", "8501");
    String changed = VALID_CONFIG.replace("\"GoalTime\":750.0", "\"GoalTime\":751.0");
    assertTrue(NodeConfig.read(Json.parse(reordered).asObject()).hasSameSettingsText(config));
    assertFalse(NodeConfig.read(Json.parse(changed).asObject()).hasSameSettingsText(config));
  }

  @Test
  public void omitsAndReportsInvalidListEntries() {
    EndpointListParser.MemberList list =
        new EndpointListParser(List.of("a"), List.of("fast"))
            .read(
                Json.parse(
                    """
{"revision":5,"members":[{"id":"s-1","host_port":7},
  {"id":"s-2","host_port":"127.0.0.1:81","locality":"mars","flavor":"fast","phase":"active"},
  {"id":"s-4","host_port":"127.0.0.1:81","locality":"a","flavor":"fast","phase":"active","size":1e999},
  {"id":"s-3","host_port":"127.0.0.1:82","locality":"a","flavor":"fast","phase":"active"}]}"""));
    assertEquals(list.members().size(), 1);
    assertEquals(list.members().get(0).name(), "s-3");
    assertEquals(list.faults().size(), 3);
  }

  @DataProvider
  public Object[][] invalidFields() {
    return new Object[][] {
      {"name", "7", "name is missing or not a text"},
      {"listen", "\"nowhere\"", "listen is not address:port: nowhere"},
      {"listen", "\"example.org:80\"", "listen is not address:port: example.org:80"},
      {"discovery", "\"127.0.0.1:99999\"", "discovery is not address:port: 127.0.0.1:99999"},
      {"seed", "\"xyz\"", "seed is not a hexadecimal number: xyz"},
      {"limits", "{\"sockets\":1}", "limits.sockets must be a number of 64 or more: 1"},
      {"limits", "{\"memory_mb\":\"x\"}", "limits.memory_mb must be a number of 16 or more: \"x\""},
      {"settings", "[]", "settings is missing or not an object"},
      {"settings", "{\"Me\":\"x\"}", "settings: setting Me is not a number: x"},
      {
        "settings",
        "{\"Classes\":[{\"Name\":\"x\",\"Deadline\":1e999}]}",
        "settings: setting Classes.0.Deadline is not a number: 1e999"
      },
      {
        "settings",
        "{\"Classes\":[{\"Name\":\"x\",\"Effect\":\"sometimes\"}]}",
        "settings: Classes.0.Effect is unknown: sometimes"
      },
      {"settings", "{}", "settings: Settings.classes is out of range: []"},
    };
  }

  @Test(dataProvider = "invalidFields")
  public void reportsInvalidFieldInOneLine(String field, String value, String message) {
    JsonObject json = Json.parse(VALID_CONFIG).asObject().set(field, Json.parse(value));
    assertEquals(
        expectThrows(ConfigException.class, () -> NodeConfig.read(json)).getMessage(), message);
  }

  @Test
  public void prefersVariableForDiscoveryAtStartAndFileOnReload() throws Exception {
    Path file = Files.createTempFile("ferngrade", ".json");
    try {
      Map<String, String> environment =
          Map.of("LB_CONFIG", file.toString(), "LB_DISCOVERY", "127.0.0.7:1", "LB_NAME", "n7");
      Files.writeString(file, VALID_CONFIG);
      assertEquals(NodeConfig.fromEnvironment(environment).discovery().getPort(), 1);
      assertEquals(NodeConfig.reread(environment).discovery().getPort(), 8500);
      assertEquals(NodeConfig.reread(environment).name(), "n7");
      Files.writeString(file, VALID_CONFIG.replace("\"discovery\"", "\"nothing\""));
      assertEquals(NodeConfig.reread(environment).discovery().getPort(), 1);
      Files.writeString(file, VALID_CONFIG.substring(1));
      expectThrows(ConfigException.class, () -> NodeConfig.reread(environment));
    } finally {
      Files.delete(file);
    }
  }

  /**
   * Guards against duplicate execution: a retry decided at the end of the idempotency window
   * reaches the worker after the window, because the connect and a pause of the node take time.
   */
  @Test
  public void shortensIdempotencyWindowsByConnectTimeoutAndPause() throws Exception {
    JsonObject json =
        Json.parse(VALID_CONFIG)
            .asObject()
            .set(
                "settings",
                Json.parse(
                    "{\"Ceilings\":{\"ConnectTimeout\":250},"
                        + "\"Classes\":[{\"Name\":\"x\",\"Effect\":\"deduplicated\",\"Window\":1800},"
                        + "{\"Name\":\"y\",\"Effect\":\"deduplicated\",\"Window\":100}]}"));
    assertEquals(NodeConfig.read(json).settings().classes().get(0).keyWindowMs(), 1400.0);
    assertEquals(NodeConfig.read(json).settings().classes().get(1).keyWindowMs(), 0.0);
  }

  @Test
  public void reportsMissingEnvironmentVariable() {
    ConfigException unset =
        expectThrows(ConfigException.class, () -> NodeConfig.fromEnvironment(Map.of()));
    assertEquals(unset.getMessage(), "LB_CONFIG is not set");
    expectThrows(
        ConfigException.class,
        () -> NodeConfig.fromEnvironment(Map.of("LB_CONFIG", "no/such/file")));
  }
}

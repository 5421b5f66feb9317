package ferngrade.fleet;

import com.eclipsesource.json.Json;
import com.eclipsesource.json.JsonObject;
import com.eclipsesource.json.JsonValue;
import java.net.http.HttpResponse;
import java.util.Map;
import java.util.TreeMap;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;

/** Who of the fleet seems to live. */
@Command(
    name = "members",
    description = "Says who of the fleet seems to live, as one member sees it.",
    mixinStandardHelpOptions = true,
    subcommands = {
      MembersCommand.Listing.class,
      MembersCommand.Watch.class,
      FleetCommand.Leave.class,
      CommandLine.HelpCommand.class
    })
public final class MembersCommand extends CommandGroup {
  /** A command that asks one member how it sees the others. */
  abstract static class Asking extends FleetCommand.Asking {
    @Parameters(
        index = "1",
        arity = "0..1",
        paramLabel = "MEMBER",
        description = "Whom to ask; the first that answers.")
    private String member;

    /** The answer, null if there is none, which was said. */
    final JsonObject members(FleetFile file) throws InterruptedException {
      HttpResponse<String> answer = ask(file, member, "GET", "/-/members");
      if (answer == null || answer.statusCode() != 200) {
        say(answer);
        return null;
      }
      return Json.parse(answer.body()).asObject();
    }
  }

  /** One table. */
  @Command(name = "list", description = "Lists the members, how each seems to be and since when.")
  static final class Listing extends Asking {
    @Override
    int call(FleetFile file) throws InterruptedException {
      JsonObject all = members(file);
      if (all == null) {
        return 1;
      }
      if (all.get("members").asArray().isEmpty()) {
        System.err.printf(
            "ferngrade: %s has no gossip address and takes no part in this%n",
            all.getString("member", ""));
        return 1;
      }
      System.out.printf(
          "as %s sees it; %d datagrams refused%n",
          all.getString("member", ""), all.getLong("refused", 0));
      for (JsonValue each : all.get("members").asArray()) {
        JsonObject one = each.asObject();
        System.out.printf(
            "  %-12s %-8s incarnation %d, for %.1f s, %s%n",
            one.getString("member", ""),
            one.getString("standing", ""),
            one.getLong("incarnation", 0),
            one.getLong("since_ms", 0) / 1000.0,
            one.getString("address", ""));
      }
      return 0;
    }
  }

  /** What changes, as it does. */
  @Command(
      name = "watch",
      description = "Prints a line whenever a member seems otherwise than before.")
  static final class Watch extends Asking {
    private static final long EVERY_MS = 500;

    @Option(
        names = "--count",
        paramLabel = "N",
        description = "Ends after so many looks; 0, never.")
    private int count;

    @Override
    int call(FleetFile file) throws InterruptedException {
      Map<String, String> before = new TreeMap<>();
      for (int look = 1; ; look++) {
        JsonObject all = members(file);
        if (all != null) {
          for (JsonValue each : all.get("members").asArray()) {
            JsonObject one = each.asObject();
            String name = one.getString("member", "");
            String now = one.getString("standing", "") + " run " + one.getString("run", "");
            String old = before.put(name, now);
            if (!now.equals(old)) {
              System.out.printf("%-12s %s%s%n", name, now, old == null ? "" : ", was " + old);
            }
          }
        }
        if (look == count) {
          return all == null ? 1 : 0;
        }
        Thread.sleep(EVERY_MS);
      }
    }
  }
}

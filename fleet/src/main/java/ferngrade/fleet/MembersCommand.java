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

/** The {@code members} command: prints the gossip status of the members. */
@Command(
    name = "members",
    description = "Prints which members are alive, as one member sees it.",
    mixinStandardHelpOptions = true,
    subcommands = {
      MembersCommand.Listing.class,
      MembersCommand.Watch.class,
      FleetCommand.Leave.class,
      CommandLine.HelpCommand.class
    })
public final class MembersCommand extends CommandGroup {
  /** A command that requests the gossip status from one member. */
  abstract static class MembersRequestCommand extends FleetCommand.RequestCommand {
    @Parameters(
        index = "1",
        arity = "0..1",
        paramLabel = "MEMBER",
        description = "The member to ask; the first that answers by default.")
    private String member;

    /** Returns the status; prints an error and returns null if no member answers. */
    final JsonObject members(FleetFile file) throws InterruptedException {
      HttpResponse<String> response = request(file, member, "GET", "/-/members");
      if (response == null || response.statusCode() != 200) {
        printResponse(response);
        return null;
      }
      return Json.parse(response.body()).asObject();
    }
  }

  /** Prints the status of all members once. */
  @Command(name = "list", description = "Lists the members with their status and its age.")
  static final class Listing extends MembersRequestCommand {
    @Override
    int call(FleetFile file) throws InterruptedException {
      JsonObject response = members(file);
      if (response == null) {
        return 1;
      }
      if (response.get("members").asArray().isEmpty()) {
        System.err.printf(
            "ferngrade: %s has no gossip address and does not gossip%n",
            response.getString("member", ""));
        return 1;
      }
      System.out.printf(
          "as %s sees it; %d datagrams refused%n",
          response.getString("member", ""), response.getLong("refused", 0));
      for (JsonValue value : response.get("members").asArray()) {
        JsonObject entry = value.asObject();
        System.out.printf(
            "  %-12s %-8s incarnation %d, for %.1f s, %s%n",
            entry.getString("member", ""),
            entry.getString("standing", ""),
            entry.getLong("incarnation", 0),
            entry.getLong("since_ms", 0) / 1000.0,
            entry.getString("address", ""));
      }
      return 0;
    }
  }

  /** Prints changes of the status until the command is stopped. */
  @Command(name = "watch", description = "Prints a line whenever the status of a member changes.")
  static final class Watch extends MembersRequestCommand {
    private static final long POLL_INTERVAL_MILLIS = 500;

    @Option(
        names = "--count",
        paramLabel = "N",
        description = "Ends after this number of polls; 0 for no end.")
    private int count;

    @Override
    int call(FleetFile file) throws InterruptedException {
      Map<String, String> lastStatus = new TreeMap<>();
      for (int polls = 1; ; polls++) {
        JsonObject response = members(file);
        if (response != null) {
          for (JsonValue value : response.get("members").asArray()) {
            JsonObject entry = value.asObject();
            String name = entry.getString("member", "");
            String status = entry.getString("standing", "") + " run " + entry.getString("run", "");
            String previous = lastStatus.put(name, status);
            if (!status.equals(previous)) {
              System.out.printf(
                  "%-12s %s%s%n", name, status, previous == null ? "" : ", was " + previous);
            }
          }
        }
        if (polls == count) {
          return response == null ? 1 : 0;
        }
        Thread.sleep(POLL_INTERVAL_MILLIS);
      }
    }
  }
}

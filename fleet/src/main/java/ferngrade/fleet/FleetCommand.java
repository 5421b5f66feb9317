package ferngrade.fleet;

import com.eclipsesource.json.Json;
import com.eclipsesource.json.JsonObject;
import com.eclipsesource.json.JsonValue;
import ferngrade.cli.Cli;
import ferngrade.fleet.MemberProcess.EmptyFolderPolicy;
import ferngrade.node.Clock;
import ferngrade.toml.FileException;
import java.io.IOException;
import java.net.URI;
import java.net.URLEncoder;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.concurrent.Callable;
import java.util.concurrent.ExecutionException;
import java.util.function.UnaryOperator;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;

/** The {@code fleet} command: runs a member of a fleet, queries the members and manages them. */
@Command(
    name = "fleet",
    description = "Runs a member of the fleet and manages its duties.",
    mixinStandardHelpOptions = true,
    subcommands = {
      FleetCommand.Check.class,
      FleetCommand.Run.class,
      FleetCommand.Status.class,
      FleetCommand.Duties.class,
      FleetCommand.Explain.class,
      FleetCommand.Transfer.class,
      FleetCommand.Leave.class,
      FleetCommand.Measure.class,
      CommandLine.HelpCommand.class
    })
public final class FleetCommand extends CommandGroup {
  /** A command that reads the fleet's file. */
  abstract static class FileCommand implements Callable<Integer> {
    @Parameters(index = "0", paramLabel = "FILE", description = "The fleet's file.")
    private Path path;

    @Override
    public Integer call() throws InterruptedException {
      try {
        return call(FleetFile.read(path));
      } catch (FileException invalid) {
        System.err.println("ferngrade: " + invalid.getMessage());
        return Cli.BAD_CONFIG;
      }
    }

    abstract int call(FleetFile file) throws InterruptedException;
  }

  /** Checks the file and prints a summary. */
  @Command(name = "check", description = "Checks the file and prints a summary of it.")
  static final class Check extends FileCommand {
    @Override
    int call(FleetFile file) {
      System.out.printf(
          "fleet %s: %d members, %d of them vote, %d recurring jobs%n",
          file.name(),
          file.members().size(),
          file.members().stream().filter(FleetFile.Member::voter).count(),
          file.jobs().size());
      return 0;
    }
  }

  /** Runs a member until it leaves the fleet. */
  @Command(
      name = "member",
      description = "Runs a member; on SIGTERM it releases its duties and ends.")
  static final class Run extends FileCommand {
    @Option(
        names = "--name",
        required = true,
        paramLabel = "NAME",
        description = "The name of this member.")
    private String name;

    @Option(
        names = "--data",
        required = true,
        paramLabel = "DIR",
        description = "The member's data folder, used by this process alone.")
    private Path data;

    @Option(
        names = "--found",
        description =
            "Founds a new fleet if the folder is empty; not for a voter that has lost its data.")
    private boolean found;

    @Option(
        names = "--rejoin",
        description =
            "Rejoins the fleet after the loss of the member's disk: the others remove its former"
                + " identity and admit it as a new member without earlier votes.")
    private boolean rejoin;

    @Override
    @SuppressWarnings("try")
    int call(FleetFile file) throws InterruptedException {
      if (file.member(name) == null) {
        System.err.println("ferngrade: the file has no member " + name);
        return Cli.BAD_CONFIG;
      }
      if (found && rejoin) {
        System.err.println(
            "ferngrade: --found and --rejoin exclude each other: a new fleet or an existing one");
        return Cli.BAD_CONFIG;
      }
      EmptyFolderPolicy emptyFolderPolicy =
          found
              ? EmptyFolderPolicy.FOUND
              : rejoin ? EmptyFolderPolicy.REJOIN : EmptyFolderPolicy.STOP;
      long startNanos = System.nanoTime();
      Clock clock = () -> (System.nanoTime() - startNanos) / 1e6;
      Clock systemClock = Clock.system();
      try (MemberProcess member =
              new MemberProcess(
                  file,
                  name,
                  new MemberProcess.Environment(
                      data,
                      emptyFolderPolicy,
                      UnaryOperator.identity(),
                      clock,
                      () -> (long) systemClock.wall(),
                      line -> System.out.printf("%.3f %s %s%n", clock.now() / 1000, name, line)));
          FleetHttpApi api =
              file.member(name).admin() == null
                  ? null
                  : new FleetHttpApi(file.member(name).admin(), member)) {
        member.runToEnd();
        return 0;
      } catch (IOException failure) {
        System.err.println("ferngrade: " + failure.getMessage());
        return 1;
      } catch (ExecutionException fault) {
        System.err.println("ferngrade: " + fault.getCause());
        return 1;
      }
    }
  }

  /** A command that sends a request to the members, in the order of the file, until one answers. */
  abstract static class RequestCommand extends FileCommand {
    private static final Duration RESPONSE_TIMEOUT = Duration.ofSeconds(4);
    private final HttpClient client =
        HttpClient.newBuilder()
            .version(HttpClient.Version.HTTP_1_1)
            .connectTimeout(Duration.ofSeconds(1))
            .build();

    /**
     * Returns the response of the first member that answers; null if no member answers. If {@code
     * memberName} is not null, only the member of this name is asked.
     */
    HttpResponse<String> request(FleetFile file, String memberName, String method, String path)
        throws InterruptedException {
      return request(file, memberName, method, path, RESPONSE_TIMEOUT);
    }

    /** Sends a request with the given timeout for the response of each member. */
    HttpResponse<String> request(
        FleetFile file, String memberName, String method, String path, Duration timeout)
        throws InterruptedException {
      for (FleetFile.Member member : file.members()) {
        if (member.admin() == null || (memberName != null && !member.name().equals(memberName))) {
          continue;
        }
        URI uri =
            URI.create(
                "http://" + member.admin().getHostString() + ":" + member.admin().getPort() + path);
        try {
          return client.send(
              HttpRequest.newBuilder(uri)
                  .timeout(timeout)
                  .method(method, HttpRequest.BodyPublishers.noBody())
                  .build(),
              HttpResponse.BodyHandlers.ofString());
        } catch (IOException unreachable) {
          System.err.println("ferngrade: " + member.name() + " does not answer");
        }
      }
      return null;
    }

    JsonObject status(FleetFile file) throws InterruptedException {
      HttpResponse<String> response = request(file, null, "GET", "/-/fleet");
      return response == null || response.statusCode() != 200
          ? null
          : Json.parse(response.body()).asObject();
    }

    /** Returns the duties; prints an error and returns null if no member answers. */
    List<JsonObject> duties(FleetFile file) throws InterruptedException {
      JsonObject status = status(file);
      if (status == null) {
        printResponse(null);
        return null;
      }
      return status.get("duties").asArray().values().stream().map(JsonValue::asObject).toList();
    }

    static String owner(JsonObject duty, String noOwner) {
      return duty.get("owner").isNull() ? noOwner : duty.get("owner").asString();
    }

    int printResponse(HttpResponse<String> response) {
      if (response == null) {
        System.err.println("ferngrade: no member answers at its admin address");
        return 1;
      }
      System.out.print(response.body());
      return response.statusCode() / 100 == 2 ? 0 : 1;
    }
  }

  /** Prints the leader and the sessions. */
  @Command(
      name = "status",
      description = "Prints the leader, the sessions, and whether a majority confirms the member.")
  static final class Status extends RequestCommand {
    @Override
    int call(FleetFile file) throws InterruptedException {
      JsonObject status = status(file);
      if (status == null) {
        return printResponse(null);
      }
      System.out.printf(
          "fleet %s, as %s knows it: leader %s, term %d, log at %d%s%n",
          status.getString("fleet", ""),
          status.getString("member", ""),
          status.get("leader").isNull() ? "none" : status.get("leader").asString(),
          status.getInt("term", 0),
          status.getLong("index", 0),
          status.getBoolean("holds", false)
              ? ""
              : "; NO MAJORITY confirms this member: it owns nothing, and this may be outdated");
      for (JsonValue value : status.get("sessions").asArray()) {
        JsonObject session = value.asObject();
        System.out.printf(
            "  %-12s session %d, renewed %d times%s%n",
            session.getString("member", ""),
            session.getLong("session", 0),
            session.getLong("renewals", 0),
            session.getBoolean("draining", false) ? ", leaving" : "");
      }
      return 0;
    }
  }

  /** Prints the owner of each duty. */
  @Command(name = "duties", description = "Lists the duties, their owners and epochs.")
  static final class Duties extends RequestCommand {
    @Override
    int call(FleetFile file) throws InterruptedException {
      List<JsonObject> duties = duties(file);
      if (duties == null) {
        return 1;
      }
      for (JsonObject duty : duties) {
        System.out.printf(
            "%-20s %-12s epoch %d%s%n",
            duty.getString("shard", ""),
            owner(duty, "nobody"),
            duty.getLong("epoch", 0),
            duty.getBoolean("releasing", false) ? ", being handed over" : "");
      }
      return 0;
    }
  }

  /** Prints the history of one duty. */
  @Command(
      name = "explain",
      description = "Prints the owner of one duty, since when and why, and its last due time.")
  static final class Explain extends RequestCommand {
    @Parameters(
        index = "1",
        paramLabel = "SHARD",
        description = "NAME/NUMBER, as 'duties' lists it.")
    private String shard;

    @Override
    int call(FleetFile file) throws InterruptedException {
      List<JsonObject> duties = duties(file);
      if (duties == null) {
        return 1;
      }
      JsonObject duty =
          duties.stream()
              .filter(candidate -> candidate.getString("shard", "").equals(shard))
              .findFirst()
              .orElse(null);
      if (duty == null) {
        System.err.println("ferngrade: no duty " + shard);
        return 1;
      }
      System.out.printf(
          "%s: owner %s, epoch %d, since entry %d; cause: %s%n",
          shard,
          owner(duty, "nobody"),
          duty.getLong("epoch", 0),
          duty.getLong("since", 0),
          duty.getString("why", ""));
      if (!duty.getString("wanted", "").isEmpty()) {
        System.out.println("owner chosen by operators: " + duty.getString("wanted", ""));
      }
      long due = duty.getLong("due", 0);
      System.out.println(
          due == 0
              ? "nothing was due yet"
              : "last due "
                  + Instant.ofEpochMilli(due)
                  + (duty.getBoolean("open", false)
                      ? ", without a result yet"
                      : ": " + duty.getString("result", "")));
      return 0;
    }
  }

  /** Moves a duty to another member. */
  @Command(
      name = "transfer",
      description = "Moves a duty to a member; without a member, removes that preference.")
  static final class Transfer extends RequestCommand {
    @Parameters(index = "1", paramLabel = "SHARD")
    private String shard;

    @Parameters(index = "2", paramLabel = "MEMBER", arity = "0..1")
    private String member = "";

    @Override
    int call(FleetFile file) throws InterruptedException {
      return printResponse(
          request(
              file,
              null,
              "POST",
              "/-/fleet/transfer?shard="
                  + URLEncoder.encode(shard, StandardCharsets.UTF_8)
                  + "&to="
                  + URLEncoder.encode(member, StandardCharsets.UTF_8)));
    }
  }

  /** Makes a member leave the fleet. */
  @Command(name = "leave", description = "Makes a member release its duties and end.")
  static final class Leave extends RequestCommand {
    @Parameters(index = "1", paramLabel = "MEMBER")
    private String member;

    @Override
    int call(FleetFile file) throws InterruptedException {
      return printResponse(request(file, member, "POST", "/-/fleet/leave"));
    }
  }

  /** Measures the throughput of the replicated log. */
  @Command(
      name = "measure",
      description =
          "Measures the log entries committed per second with entries that change nothing."
              + " Not for a fleet under production load.")
  static final class Measure extends RequestCommand {
    @Option(
        names = "--ms",
        paramLabel = "N",
        description = "The duration, ms; 3000 by default, at most 10000.")
    private double millis = 3_000;

    @Override
    int call(FleetFile file) throws InterruptedException {
      JsonObject status = status(file);
      if (status == null || status.get("leader").isNull()) {
        System.err.println("ferngrade: no leader is known");
        return 1;
      }
      return printResponse(
          request(
              file,
              status.getString("leader", ""),
              "POST",
              "/-/fleet/measure?ms=" + millis,
              Duration.ofMillis((long) millis).plusSeconds(4)));
    }
  }
}

package ferngrade.fleet;

import com.eclipsesource.json.Json;
import com.eclipsesource.json.JsonObject;
import com.eclipsesource.json.JsonValue;
import ferngrade.cli.Cli;
import ferngrade.fleet.MemberProcess.Empty;
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

/** The fleet's own work: runs a member, and asks or tells the members. */
@Command(
    name = "fleet",
    description = "Runs a member of the fleet, and asks who owns which duty.",
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
  /** A command on a fleet's file. */
  abstract static class OnFile implements Callable<Integer> {
    @Parameters(index = "0", paramLabel = "FILE", description = "The fleet's file.")
    private Path path;

    @Override
    public Integer call() throws InterruptedException {
      try {
        return call(FleetFile.read(path));
      } catch (FileException bad) {
        System.err.println("ferngrade: " + bad.getMessage());
        return Cli.BAD_CONFIG;
      }
    }

    abstract int call(FleetFile file) throws InterruptedException;
  }

  /** Reads the file. */
  @Command(name = "check", description = "Says whether the file can be used.")
  static final class Check extends OnFile {
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

  /** Runs a member until it is told to stop. */
  @Command(
      name = "member",
      description = "Runs a member; on SIGTERM it gives back what it holds and ends.")
  static final class Run extends OnFile {
    @Option(
        names = "--name",
        required = true,
        paramLabel = "NAME",
        description = "Which member this is.")
    private String name;

    @Option(
        names = "--data",
        required = true,
        paramLabel = "DIR",
        description = "Its folder, its alone.")
    private Path data;

    @Option(
        names = "--found",
        description = "Begins a new fleet where the folder holds none; never after a loss.")
    private boolean found;

    @Option(
        names = "--rejoin",
        description =
            "Takes part anew after the loss of its disk: the others remove what it was"
                + " before, and take it in as one that has promised nothing.")
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
            "ferngrade: --found begins a new fleet, --rejoin comes back to one: not both");
        return Cli.BAD_CONFIG;
      }
      Empty empty = found ? Empty.FOUND : rejoin ? Empty.REJOIN : Empty.STOP;
      long origin = System.nanoTime();
      Clock clock = () -> (System.nanoTime() - origin) / 1e6;
      Clock machine = Clock.system();
      try (MemberProcess member =
              new MemberProcess(
                  file,
                  name,
                  new MemberProcess.Start(
                      data,
                      empty,
                      UnaryOperator.identity(),
                      clock,
                      () -> (long) machine.wall(),
                      line -> System.out.printf("%.3f %s %s%n", clock.now() / 1000, name, line)));
          FleetHttpApi calls =
              file.member(name).admin() == null
                  ? null
                  : new FleetHttpApi(file.member(name).admin(), member)) {
        member.runToEnd();
        return 0;
      } catch (IOException cannot) {
        System.err.println("ferngrade: " + cannot.getMessage());
        return 1;
      } catch (ExecutionException fault) {
        System.err.println("ferngrade: " + fault.getCause());
        return 1;
      }
    }
  }

  /** A command that asks the members, in their order, until one answers. */
  abstract static class Asking extends OnFile {
    private static final Duration PATIENCE = Duration.ofSeconds(4);
    private final HttpClient client =
        HttpClient.newBuilder()
            .version(HttpClient.Version.HTTP_1_1)
            .connectTimeout(Duration.ofSeconds(1))
            .build();

    /** The answer of the first of these members that gives one, null if none does. */
    HttpResponse<String> ask(FleetFile file, String only, String method, String call)
        throws InterruptedException {
      return ask(file, only, method, call, PATIENCE);
    }

    /** The same, with so much time for each member's answer. */
    HttpResponse<String> ask(
        FleetFile file, String only, String method, String call, Duration patience)
        throws InterruptedException {
      for (FleetFile.Member each : file.members()) {
        if (each.admin() == null || (only != null && !each.name().equals(only))) {
          continue;
        }
        URI uri =
            URI.create(
                "http://" + each.admin().getHostString() + ":" + each.admin().getPort() + call);
        try {
          return client.send(
              HttpRequest.newBuilder(uri)
                  .timeout(patience)
                  .method(method, HttpRequest.BodyPublishers.noBody())
                  .build(),
              HttpResponse.BodyHandlers.ofString());
        } catch (IOException silent) {
          System.err.println("ferngrade: " + each.name() + " does not answer");
        }
      }
      return null;
    }

    JsonObject status(FleetFile file) throws InterruptedException {
      HttpResponse<String> answer = ask(file, null, "GET", "/-/fleet");
      return answer == null || answer.statusCode() != 200
          ? null
          : Json.parse(answer.body()).asObject();
    }

    /** What the fleet says of its duties, null if nobody answers, which is said. */
    List<JsonObject> duties(FleetFile file) throws InterruptedException {
      JsonObject status = status(file);
      if (status == null) {
        say(null);
        return null;
      }
      return status.get("duties").asArray().values().stream().map(JsonValue::asObject).toList();
    }

    static String owner(JsonObject duty, String none) {
      return duty.get("owner").isNull() ? none : duty.get("owner").asString();
    }

    int say(HttpResponse<String> answer) {
      if (answer == null) {
        System.err.println("ferngrade: no member answers at its admin address");
        return 1;
      }
      System.out.print(answer.body());
      return answer.statusCode() / 100 == 2 ? 0 : 1;
    }
  }

  /** Who is there. */
  @Command(
      name = "status",
      description = "Says who leads, who has a session, and whether a majority confirms it.")
  static final class Status extends Asking {
    @Override
    int call(FleetFile file) throws InterruptedException {
      JsonObject status = status(file);
      if (status == null) {
        return say(null);
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
              : "; NO MAJORITY confirms this member, it owns nothing and this may be old");
      for (JsonValue each : status.get("sessions").asArray()) {
        JsonObject session = each.asObject();
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

  /** Who owns what. */
  @Command(name = "duties", description = "Lists the duties, their owners and epochs.")
  static final class Duties extends Asking {
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

  /** Why somebody owns something. */
  @Command(
      name = "explain",
      description = "Says of one duty who owns it, since when and why, and what was done last.")
  static final class Explain extends Asking {
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
              .filter(each -> each.getString("shard", "").equals(shard))
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
        System.out.println("operators want it at " + duty.getString("wanted", ""));
      }
      long due = duty.getLong("due", 0);
      System.out.println(
          due == 0
              ? "nothing was due yet"
              : "last due "
                  + Instant.ofEpochMilli(due)
                  + (duty.getBoolean("open", false)
                      ? ", not settled"
                      : ": " + duty.getString("result", "")));
      return 0;
    }
  }

  /** Moves a duty. */
  @Command(
      name = "transfer",
      description = "Asks for a duty to go to a member; without one the choice is free again.")
  static final class Transfer extends Asking {
    @Parameters(index = "1", paramLabel = "SHARD")
    private String shard;

    @Parameters(index = "2", paramLabel = "MEMBER", arity = "0..1")
    private String member = "";

    @Override
    int call(FleetFile file) throws InterruptedException {
      return say(
          ask(
              file,
              null,
              "POST",
              "/-/fleet/transfer?shard="
                  + URLEncoder.encode(shard, StandardCharsets.UTF_8)
                  + "&to="
                  + URLEncoder.encode(member, StandardCharsets.UTF_8)));
    }
  }

  /** Sends a member away. */
  @Command(name = "leave", description = "Has a member give back what it holds and end.")
  static final class Leave extends Asking {
    @Parameters(index = "1", paramLabel = "MEMBER")
    private String member;

    @Override
    int call(FleetFile file) throws InterruptedException {
      return say(ask(file, member, "POST", "/-/fleet/leave"));
    }
  }

  /** How fast the log is. */
  @Command(
      name = "measure",
      description =
          "Says how many entries a second the log takes, by putting in ones that change"
              + " nothing. Not beside work that counts.")
  static final class Measure extends Asking {
    @Option(
        names = "--ms",
        paramLabel = "N",
        description = "For so long; 3000 if left out, 10000 at the most.")
    private double millis = 3_000;

    @Override
    int call(FleetFile file) throws InterruptedException {
      JsonObject status = status(file);
      if (status == null || status.get("leader").isNull()) {
        System.err.println("ferngrade: no leader is known");
        return 1;
      }
      return say(
          ask(
              file,
              status.getString("leader", ""),
              "POST",
              "/-/fleet/measure?ms=" + millis,
              Duration.ofMillis((long) millis).plusSeconds(4)));
    }
  }
}

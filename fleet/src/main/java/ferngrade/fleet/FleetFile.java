package ferngrade.fleet;

import ferngrade.config.EndpointListParser;
import ferngrade.lease.EndpointListRelay;
import ferngrade.lease.LeaseHolder;
import ferngrade.lease.RecurringSchedule;
import ferngrade.lease.Shard;
import ferngrade.toml.FileException;
import ferngrade.toml.Section;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.stream.Stream;

/**
 * The file of a fleet, the same for each of its members but for addresses.
 *
 * @param name the fleet's name: members of another do not hear this one's
 * @param terms how long a hold lasts, and how wrong a member's clock may run
 * @param heartbeat ms between two words of a leader to those who follow it
 * @param keys what members prove themselves by, the first signs and the second counts too; none:
 *     nothing is proved
 * @param members all members
 * @param targets where recurring jobs are put in: the client addresses of nodes, tried in this
 *     order
 * @param discovery where the worker list is, which the fleet asks for once on behalf of all; null:
 *     it does not
 * @param jobs the recurring jobs
 */
public record FleetFile(
    String name,
    LeaseHolder.Terms terms,
    double heartbeat,
    List<byte[]> keys,
    List<Member> members,
    List<InetSocketAddress> targets,
    InetSocketAddress discovery,
    List<Job> jobs) {
  private static final int LEAST_KEY = 16;
  private static final int MOST_KEYS = 2;
  private static final double LEAST_PERIOD = 100;

  /**
   * One member: where the others reach it, where operators do, where it takes datagrams on who
   * seems to live (null: it takes no part in that), where its node asks for the worker list (null:
   * nowhere), and whether it votes.
   */
  public record Member(
      String name,
      InetSocketAddress address,
      InetSocketAddress admin,
      InetSocketAddress gossip,
      InetSocketAddress list,
      boolean voter) {}

  /** Whether a job may be put in twice. */
  public enum Effect {
    /** It may. */
    SAFE,
    /** It carries a key by which workers drop a repeat. */
    KEYED,
    /** It must not. */
    UNSAFE
  }

  /** What becomes of a due time that fell into an outage. */
  public enum Missed {
    /** It is run late, once for all that were missed. */
    ONCE,
    /** It is left out. */
    SKIP
  }

  /** A recurring job: when, and what a client would send; {@code deadline} is ms. */
  public record Job(
      RecurringSchedule when,
      Effect effect,
      String jobClass,
      String tenant,
      String payload,
      double deadline) {}

  /** Reads a file; what cannot be used is said with file, line and key. */
  public static FleetFile read(Path path) throws FileException {
    Section top = Section.file(path);
    String name = top.text("name", null);
    if (name == null || name.isEmpty()) {
      throw top.bad("name", "is missing");
    }
    double hold = top.time("hold", 1500);
    double drift = top.number("drift", 0.02);
    double heartbeat = top.time("heartbeat", 100);
    if (drift >= 0.2) {
      throw top.bad("drift", "is a share of the time, below 0.2");
    }
    if (heartbeat <= 0 || hold < 4 * heartbeat) {
      throw top.bad("hold", "must be at least four heartbeats");
    }
    List<byte[]> keys =
        top.has("key-file") ? keys(top, path.resolveSibling(top.text("key-file", ""))) : List.of();
    List<Member> members = new ArrayList<>();
    Set<String> names = new HashSet<>();
    for (Section each : top.sections("member")) {
      members.add(member(each, names));
    }
    if (members.stream().noneMatch(Member::voter)) {
      throw top.bad("member", "is missing: a fleet has at least one that votes");
    }
    List<InetSocketAddress> targets = new ArrayList<>();
    for (String target : top.texts("targets", List.of())) {
      targets.add(address(top, "targets", target));
    }
    InetSocketAddress discovery =
        top.has("discovery") ? address(top, "discovery", top.text("discovery", "")) : null;
    if (discovery == null && members.stream().anyMatch(each -> each.list() != null)) {
      throw top.bad("discovery", "is missing: members pass the worker list on from there");
    }
    List<Job> jobs = new ArrayList<>();
    Set<String> jobNames = new HashSet<>();
    for (Section each : top.sections("recurring")) {
      jobs.add(job(each, jobNames));
    }
    if (!jobs.isEmpty() && targets.isEmpty()) {
      throw top.bad("targets", "is missing: recurring jobs are put in there");
    }
    top.end();
    return new FleetFile(
        name,
        new LeaseHolder.Terms(hold, drift),
        heartbeat,
        keys,
        List.copyOf(members),
        List.copyOf(targets),
        discovery,
        List.copyOf(jobs));
  }

  /** The keys of a file, a line each; what they are is not said in any message. */
  private static List<byte[]> keys(Section top, Path path) throws FileException {
    List<byte[]> keys = new ArrayList<>();
    try {
      for (String line : Files.readAllLines(path)) {
        if (!line.isBlank()) {
          keys.add(line.strip().getBytes(StandardCharsets.UTF_8));
        }
      }
    } catch (IOException unreadable) {
      throw top.bad("key-file", "cannot be read: " + unreadable);
    }
    if (keys.isEmpty()
        || keys.size() > MOST_KEYS
        || keys.stream().anyMatch(key -> key.length < LEAST_KEY)) {
      throw top.bad(
          "key-file",
          "must hold one key or two, a line each, of " + LEAST_KEY + " characters or more");
    }
    return List.copyOf(keys);
  }

  private static Member member(Section section, Set<String> names) throws FileException {
    String name = name(section, names);
    if (!section.has("address")) {
      throw section.bad("address", "is missing");
    }
    InetSocketAddress address = address(section, "address", section.text("address", ""));
    InetSocketAddress admin =
        section.has("admin") ? address(section, "admin", section.text("admin", "")) : null;
    InetSocketAddress gossip =
        section.has("gossip") ? address(section, "gossip", section.text("gossip", "")) : null;
    InetSocketAddress list =
        section.has("list") ? address(section, "list", section.text("list", "")) : null;
    String part = section.text("part", "voter");
    if (!part.equals("voter") && !part.equals("learner")) {
      throw section.bad("part", "is neither \"voter\" nor \"learner\": \"" + part + "\"");
    }
    section.end();
    return new Member(name, address, admin, gossip, list, part.equals("voter"));
  }

  private static Job job(Section section, Set<String> names) throws FileException {
    String name = name(section, names);
    double every = section.time("every", 0);
    if (every < LEAST_PERIOD || every != Math.rint(every)) {
      throw section.bad("every", "must be a time of whole ms, 100ms or more");
    }
    Effect effect = section.word("effect", Effect.class, Effect.UNSAFE);
    Missed missed = section.word("missed", Missed.class, Missed.ONCE);
    Job job =
        new Job(
            new RecurringSchedule(
                name, (long) every, missed == Missed.ONCE, effect != Effect.UNSAFE),
            effect,
            section.text("class", ""),
            section.text("tenant", ""),
            section.text("payload", ""),
            section.time("deadline", 5_000));
    if (job.jobClass().isEmpty() || job.tenant().isEmpty()) {
      throw section.bad(job.jobClass().isEmpty() ? "class" : "tenant", "is missing");
    }
    section.end();
    return job;
  }

  private static String name(Section section, Set<String> names) throws FileException {
    String name = section.text("name", "");
    if (!name.matches("[A-Za-z0-9._-]{1,64}")) {
      throw section.bad("name", "must be 1 to 64 letters, digits, dots, dashes or underscores");
    }
    if (name.equals(EndpointListRelay.SHARD.duty()) && section.has("every")) {
      throw section.bad("name", "is the worker list's own: list");
    }
    if (!names.add(name)) {
      throw section.bad("name", "is there twice: " + name);
    }
    return name;
  }

  private static InetSocketAddress address(Section section, String key, String text)
      throws FileException {
    try {
      return EndpointListParser.address(text);
    } catch (IllegalArgumentException wrong) {
      throw section.bad(key, "is no address: \"" + text + "\"");
    }
  }

  /** The member of this name, null for none. */
  public Member member(String member) {
    return members.stream().filter(each -> each.name().equals(member)).findFirst().orElse(null);
  }

  /** The shards that the fleet's duties have. */
  public List<Shard> shards() {
    return Stream.concat(
            jobs.stream().map(each -> each.when().shard()),
            discovery == null ? Stream.empty() : Stream.of(EndpointListRelay.SHARD))
        .toList();
  }
}

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
 * The configuration file of a fleet. It is the same for all members, except that each member may
 * reach the others at different addresses.
 *
 * @param name the fleet's name; messages of fleets with other names are rejected
 * @param leaseTiming the duration of a lease and the maximum drift of a member's clock
 * @param heartbeat the interval between two heartbeats of the Raft leader, ms
 * @param keys the keys that authenticate messages between members: the first one signs, the second
 *     one is accepted too; if empty, messages are not authenticated
 * @param members all members
 * @param targets the client addresses of the nodes to which recurring jobs are submitted, in the
 *     order in which they are tried
 * @param discovery the address of the endpoint list, which one member watches for the whole fleet;
 *     null if the fleet does not relay the list
 * @param jobs the recurring jobs
 */
public record FleetFile(
    String name,
    LeaseHolder.Timing leaseTiming,
    double heartbeat,
    List<byte[]> keys,
    List<Member> members,
    List<InetSocketAddress> targets,
    InetSocketAddress discovery,
    List<Job> jobs) {
  private static final int MIN_KEY_LENGTH = 16;
  private static final int MAX_KEYS = 2;
  private static final double MIN_PERIOD_MILLIS = 100;

  /**
   * One member of the fleet.
   *
   * @param address the address for the other members' connections
   * @param admin the address for operators' calls; null for none
   * @param gossip the address for gossip datagrams; null if the member does not gossip
   * @param list the address at which it serves the endpoint list to its node; null for none
   * @param voter whether it votes; a learner owns shards but does not vote
   */
  public record Member(
      String name,
      InetSocketAddress address,
      InetSocketAddress admin,
      InetSocketAddress gossip,
      InetSocketAddress list,
      boolean voter) {}

  /** Whether a job may be submitted twice. */
  public enum Effect {
    /** The job may run more than once. */
    SAFE,
    /** The job carries a key by which workers recognize and drop a repeat. */
    KEYED,
    /** The job must not run twice. */
    UNSAFE
  }

  /** The handling of due times that were missed in an outage. */
  public enum MissedRunPolicy {
    /** The job runs late, once for all missed due times. */
    ONCE,
    /** Missed due times are skipped. */
    SKIP
  }

  /** A recurring job: its schedule and the contents of its request. {@code deadline} is in ms. */
  public record Job(
      RecurringSchedule schedule,
      Effect effect,
      String jobClass,
      String tenant,
      String payload,
      double deadline) {}

  /**
   * Reads a file.
   *
   * @throws FileException if a value cannot be used; it names the file, the line and the key
   */
  public static FleetFile read(Path path) throws FileException {
    Section top = Section.readFile(path);
    String name = top.string("name", null);
    if (name == null || name.isEmpty()) {
      throw top.error("name", "is missing");
    }
    double leaseMillis = top.durationMillis("hold", 1500);
    double maxClockDrift = top.number("drift", 0.02);
    double heartbeat = top.durationMillis("heartbeat", 100);
    if (maxClockDrift >= 0.2) {
      throw top.error("drift", "must be a fraction of the time, below 0.2");
    }
    if (heartbeat <= 0 || leaseMillis < 4 * heartbeat) {
      throw top.error("hold", "must be at least four heartbeats");
    }
    List<byte[]> keys =
        top.has("key-file")
            ? keys(top, path.resolveSibling(top.string("key-file", "")))
            : List.of();
    List<Member> members = new ArrayList<>();
    Set<String> usedNames = new HashSet<>();
    for (Section section : top.sections("member")) {
      members.add(member(section, usedNames));
    }
    if (members.stream().noneMatch(Member::voter)) {
      throw top.error("member", "is missing: a fleet needs at least one voter");
    }
    List<InetSocketAddress> targets = new ArrayList<>();
    for (String target : top.strings("targets", List.of())) {
      targets.add(address(top, "targets", target));
    }
    InetSocketAddress discovery =
        top.has("discovery") ? address(top, "discovery", top.string("discovery", "")) : null;
    if (discovery == null && members.stream().anyMatch(member -> member.list() != null)) {
      throw top.error("discovery", "is missing: members with a list address need it");
    }
    List<Job> jobs = new ArrayList<>();
    Set<String> usedJobNames = new HashSet<>();
    for (Section section : top.sections("recurring")) {
      jobs.add(job(section, usedJobNames));
    }
    if (!jobs.isEmpty() && targets.isEmpty()) {
      throw top.error("targets", "is missing: recurring jobs need a target");
    }
    top.rejectUnknownKeys();
    return new FleetFile(
        name,
        new LeaseHolder.Timing(leaseMillis, maxClockDrift),
        heartbeat,
        keys,
        List.copyOf(members),
        List.copyOf(targets),
        discovery,
        List.copyOf(jobs));
  }

  /** Reads the keys of a file, one per line. Error messages never contain a key. */
  private static List<byte[]> keys(Section top, Path path) throws FileException {
    List<byte[]> keys = new ArrayList<>();
    try {
      for (String line : Files.readAllLines(path)) {
        if (!line.isBlank()) {
          keys.add(line.strip().getBytes(StandardCharsets.UTF_8));
        }
      }
    } catch (IOException unreadable) {
      throw top.error("key-file", "cannot be read: " + unreadable);
    }
    if (keys.isEmpty()
        || keys.size() > MAX_KEYS
        || keys.stream().anyMatch(key -> key.length < MIN_KEY_LENGTH)) {
      throw top.error(
          "key-file",
          "must hold one key or two, one per line, of " + MIN_KEY_LENGTH + " characters or more");
    }
    return List.copyOf(keys);
  }

  private static Member member(Section section, Set<String> usedNames) throws FileException {
    String name = name(section, usedNames);
    if (!section.has("address")) {
      throw section.error("address", "is missing");
    }
    InetSocketAddress address = address(section, "address", section.string("address", ""));
    InetSocketAddress admin =
        section.has("admin") ? address(section, "admin", section.string("admin", "")) : null;
    InetSocketAddress gossip =
        section.has("gossip") ? address(section, "gossip", section.string("gossip", "")) : null;
    InetSocketAddress list =
        section.has("list") ? address(section, "list", section.string("list", "")) : null;
    String part = section.string("part", "voter");
    if (!part.equals("voter") && !part.equals("learner")) {
      throw section.error("part", "is neither \"voter\" nor \"learner\": \"" + part + "\"");
    }
    section.rejectUnknownKeys();
    return new Member(name, address, admin, gossip, list, part.equals("voter"));
  }

  private static Job job(Section section, Set<String> usedNames) throws FileException {
    String name = name(section, usedNames);
    double periodMillis = section.durationMillis("every", 0);
    if (periodMillis < MIN_PERIOD_MILLIS || periodMillis != Math.rint(periodMillis)) {
      throw section.error("every", "must be a time of whole ms, 100ms or more");
    }
    Effect effect = section.enumValue("effect", Effect.class, Effect.UNSAFE);
    MissedRunPolicy missedRunPolicy =
        section.enumValue("missed", MissedRunPolicy.class, MissedRunPolicy.ONCE);
    Job job =
        new Job(
            new RecurringSchedule(
                name,
                (long) periodMillis,
                missedRunPolicy == MissedRunPolicy.ONCE,
                effect != Effect.UNSAFE),
            effect,
            section.string("class", ""),
            section.string("tenant", ""),
            section.string("payload", ""),
            section.durationMillis("deadline", 5_000));
    if (job.jobClass().isEmpty() || job.tenant().isEmpty()) {
      throw section.error(job.jobClass().isEmpty() ? "class" : "tenant", "is missing");
    }
    section.rejectUnknownKeys();
    return job;
  }

  private static String name(Section section, Set<String> usedNames) throws FileException {
    String name = section.string("name", "");
    if (!name.matches("[A-Za-z0-9._-]{1,64}")) {
      throw section.error("name", "must be 1 to 64 letters, digits, dots, dashes or underscores");
    }
    if (name.equals(EndpointListRelay.SHARD.duty()) && section.has("every")) {
      throw section.error("name", "is reserved for the endpoint list: list");
    }
    if (!usedNames.add(name)) {
      throw section.error("name", "is a duplicate: " + name);
    }
    return name;
  }

  private static InetSocketAddress address(Section section, String key, String text)
      throws FileException {
    try {
      return EndpointListParser.address(text);
    } catch (IllegalArgumentException malformed) {
      throw section.error(key, "is not an address: \"" + text + "\"");
    }
  }

  /** Returns the member of this name; null if there is none. */
  public Member member(String member) {
    return members.stream()
        .filter(candidate -> candidate.name().equals(member))
        .findFirst()
        .orElse(null);
  }

  /** Returns all shards: one per recurring job, and one for the endpoint list if it is relayed. */
  public List<Shard> shards() {
    return Stream.concat(
            jobs.stream().map(job -> job.schedule().shard()),
            discovery == null ? Stream.empty() : Stream.of(EndpointListRelay.SHARD))
        .toList();
  }
}

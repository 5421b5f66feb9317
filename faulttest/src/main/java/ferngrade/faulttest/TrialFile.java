package ferngrade.faulttest;

import ferngrade.toml.FileException;
import ferngrade.toml.Section;
import ferngrade.toml.TomlLines;
import java.io.IOException;
import java.io.InputStream;
import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;

/**
 * A trial: the number of members, and the steps that are executed on them.
 *
 * @param name the trial's name
 * @param title what the trial shows
 * @param members the number of members, all of them voters
 * @param leaseDuration the duration of a lease, ms
 * @param recurrencePeriod the period of the recurring jobs, ms
 * @param keepsShards whether it is a violation if a member loses a shard
 * @param foreignMember whether a member of another fleet runs at the same time; its fleet file
 *     contains the addresses of this trial's members
 * @param sharesEndpointList whether one member watches the endpoint list and relays it to the
 *     others
 * @param requiredLogTexts texts that must each occur in a log line of a member, from the first step
 *     on
 * @param forbiddenLogTexts texts that must not occur in any log line from the first step on
 * @param steps the steps, ordered by time
 */
public record TrialFile(
    String name,
    String title,
    int members,
    double leaseDuration,
    double recurrencePeriod,
    boolean keepsShards,
    boolean foreignMember,
    boolean sharesEndpointList,
    List<String> requiredLogTexts,
    List<String> forbiddenLogTexts,
    List<Step> steps) {
  /** The names of the trials that are part of the program. */
  public static final List<String> SHIPPED =
      List.of(
          "owner-killed",
          "owner-stopped",
          "late-effect",
          "owner-cut-off",
          "heard-not-hearing",
          "two-owners-die",
          "three-of-five-restarted",
          "handed-over",
          "lost-disk",
          "short-pause",
          "minority",
          "taken-in-anew",
          "clocks-apart",
          "disk-full",
          "bit-turned",
          "healed-in-hand-over",
          "slow-not-dead",
          "nine-join",
          "forged",
          "two-fleets",
          "list-asked-once");

  /** The action of a step. */
  public enum StepAction {
    /** Kills the process with SIGKILL, and restarts it after {@code for} if that is set. */
    KILL,
    /** Suspends the process with SIGSTOP, and resumes it with SIGCONT after {@code for}. */
    STOP,
    /** Kills the process, and restarts it after {@code for} with an empty data folder. */
    FORGET,
    /** Cuts the connections to and from the other members for {@code for}. */
    CUT,
    /**
     * Silently drops all data that the member sends to other members for {@code for}. The member
     * still receives data.
     */
    MUTE,
    /**
     * Silently drops all data that other members send to the member for {@code for}. The member can
     * still send data.
     */
    DEAFEN,
    /**
     * For the duration {@code for}, holds back the jobs that the member submits, and then delivers
     * them.
     */
    HOLD_EFFECTS,
    /**
     * Kills the process, and restarts it after {@code for} with an empty data folder and the option
     * to be admitted to the fleet again.
     */
    REJOIN,
    /**
     * Kills the process. After the duration that the key {@code for} gives, flips one bit of the
     * process's log and restarts the process.
     */
    FLIP,
    /** Makes the member's disk full for {@code for}; the member recovers without a restart. */
    FILL,
    /** Makes each sync take {@code by} ms for {@code for}. */
    SLOW,
    /** Makes the wall clock jump by {@code by} ms. */
    JUMP,
    /** Makes the clocks run at {@code by} times the real rate. */
    RATE,
    /**
     * Drops, duplicates and reorders the member's datagrams for the duration that the key {@code
     * for} gives.
     */
    SCRAMBLE,
    /**
     * Sends the last datagram of each link to the member again, both unchanged and with one bit
     * flipped.
     */
    FORGE,
    /**
     * Sends SIGTERM. The member then releases its leases and exits, and is restarted after {@code
     * for}.
     */
    LEAVE
  }

  /** A condition that a step waits for in addition to its time, or before its duration starts. */
  public enum Condition {
    /** No condition. */
    NONE,
    /** A job submitted by the member is held back in a link in {@link Relay.Mode#HOLD} mode. */
    HELD,
    /**
     * The member owned a shard when the step began. Since then, a job of this shard has been
     * executed under a later epoch.
     */
    OVERTAKEN
  }

  /**
   * One step. {@code who} selects the members: a member's name, {@code owner} (of the first job's
   * shard), {@code owner2} (of the second job's shard), {@code list-owner}, {@code another} (not
   * the owner of the first job's shard), {@code same} (the member of the previous step) or {@code
   * all}. The step begins at its time or once {@code when} has occurred, whichever is later. It
   * ends {@code length} ms after {@code until} has occurred. It never ends if {@code length} is 0
   * and {@code until} is {@code NONE}. {@code by} is the amount, for actions that have one.
   */
  public record Step(
      double at,
      Condition when,
      StepAction action,
      String who,
      double by,
      double length,
      Condition until) {
    boolean needsFaultInjection() {
      return action == StepAction.FILL
          || action == StepAction.SLOW
          || action == StepAction.JUMP
          || action == StepAction.RATE;
    }

    boolean ends() {
      return length > 0 || until != Condition.NONE;
    }
  }

  /** Parses the text of a trial; {@code file} is its name in error messages. */
  public static TrialFile read(String file, String text) throws FileException {
    Section top = new Section(file, new TomlLines(text), "", Section.parse(file, text));
    List<Step> steps = new ArrayList<>();
    for (Section table : top.sections("step")) {
      StepAction action = table.enumValue("do", StepAction.class, null);
      if (action == null) {
        throw table.error("do", "is missing");
      }
      String who = table.string("who", null);
      if (who == null) {
        throw table.error("who", "is missing");
      }
      steps.add(
          new Step(
              table.durationMillis("at", 0),
              table.enumValue("when", Condition.class, Condition.NONE),
              action,
              who,
              table.number("by", 0) * (table.string("back", "no").equals("yes") ? -1 : 1),
              table.durationMillis("for", 0),
              table.enumValue("until", Condition.class, Condition.NONE)));
      table.rejectUnknownKeys();
    }
    double members = top.number("members", 3);
    if (members < 1 || members > 9 || members != Math.rint(members)) {
      throw top.error("members", "must be a whole number from 1 to 9");
    }
    TrialFile trial =
        new TrialFile(
            top.string("name", file),
            top.string("title", ""),
            (int) members,
            top.durationMillis("hold", 1500),
            top.durationMillis("every", 200),
            top.string("keeps", "no").equals("yes"),
            top.string("stranger", "no").equals("yes"),
            top.string("list", "no").equals("yes"),
            top.strings("says", List.of()),
            top.strings("never", List.of()),
            List.copyOf(steps));
    top.rejectUnknownKeys();
    return trial;
  }

  /**
   * Returns the trial of this name that is part of the program, or null if the program has no such
   * trial.
   */
  public static TrialFile shipped(String name) throws FileException {
    try (InputStream in = TrialFile.class.getResourceAsStream("/trials/" + name + ".toml")) {
      return in == null ? null : read(name, new String(in.readAllBytes(), StandardCharsets.UTF_8));
    } catch (IOException unreadable) {
      throw new UncheckedIOException(unreadable);
    }
  }
}

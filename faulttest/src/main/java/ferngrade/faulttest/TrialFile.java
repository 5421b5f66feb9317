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
 * A trial: how many members, and what is done to them when.
 *
 * @param name the trial's name
 * @param title what it shows
 * @param members how many members, all of them voters
 * @param hold how long a hold lasts, ms
 * @param every the period of its recurring jobs, ms
 * @param keeps whether nobody may lose a duty in it
 * @param stranger whether a member of another fleet runs beside, whose file has these members'
 *     addresses
 * @param list whether the members ask for a worker list once and pass it on
 * @param says texts each of which some line of a member's log must hold, from the first step on
 * @param never texts that none may hold from then on
 * @param steps what is done, in the order of the times
 */
public record TrialFile(
    String name,
    String title,
    int members,
    double hold,
    double every,
    boolean keeps,
    boolean stranger,
    boolean list,
    List<String> says,
    List<String> never,
    List<Step> steps) {
  /** The trials that come with the program. */
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

  /** What can be done. */
  public enum Deed {
    /** SIGKILL; started again after {@code for}, if that is there. */
    KILL,
    /** SIGSTOP, and SIGCONT after {@code for}. */
    STOP,
    /** Killed, and started again after {@code for} with an empty folder. */
    FORGET,
    /** Its connections to and from the other members are cut for {@code for}. */
    CUT,
    /** What it sends to other members is silently lost for {@code for}; it goes on hearing them. */
    MUTE,
    /** What others send it is silently lost for {@code for}; they go on hearing it. */
    DEAFEN,
    /** Its effects wait on their way for {@code for}, and then land. */
    HOLD_EFFECTS,
    /** Killed, and started again after {@code for} with an empty folder, to be taken in anew. */
    REJOIN,
    /** Killed, and started again after {@code for} with a bit of its log turned over. */
    FLIP,
    /** Its disk is full for {@code for}; it goes on by itself after that. */
    FILL,
    /** Each of its syncs takes {@code by} ms for {@code for}. */
    SLOW,
    /** Its wall clock jumps by so many ms. */
    JUMP,
    /** Its clocks run {@code by} times as fast as they should. */
    RATE,
    /** Its datagrams are lost, repeated and reordered for {@code for}. */
    SCRAMBLE,
    /** It is sent again what came last, as it was and with a bit turned over. */
    FORGE,
    /** SIGTERM: it gives back what it holds and ends; started again after {@code for}. */
    LEAVE
  }

  /** What a step may wait for beside its time, or before its end is counted. */
  public enum Sign {
    /** Nothing. */
    NONE,
    /** An effect of its member waits in a link whose effects are held. */
    HELD,
    /** A job that its member owned when the step began has landed under a later epoch since. */
    OVERTAKEN
  }

  /**
   * One step: {@code who} is a member's name, {@code owner} (of the first job), {@code owner2} (of
   * the second), {@code list-owner}, {@code another} (not the first one's owner), {@code same} (as
   * the step before), or {@code all}; it begins at its time and once {@code when} was seen, and
   * ends {@code length} ms after {@code until} was seen; both 0 and none: never. {@code by} is how
   * much, where the deed has a measure.
   */
  public record Step(
      double at, Sign when, Deed deed, String who, double by, double length, Sign until) {
    boolean hurtsInside() {
      return deed == Deed.FILL || deed == Deed.SLOW || deed == Deed.JUMP || deed == Deed.RATE;
    }

    boolean ends() {
      return length > 0 || until != Sign.NONE;
    }
  }

  /** Reads a trial's text; {@code file} is its name in messages. */
  public static TrialFile read(String file, String text) throws FileException {
    Section top = new Section(file, new TomlLines(text), "", Section.parse(file, text));
    List<Step> steps = new ArrayList<>();
    for (Section each : top.sections("step")) {
      Deed deed = each.word("do", Deed.class, null);
      if (deed == null) {
        throw each.bad("do", "is missing");
      }
      String who = each.text("who", null);
      if (who == null) {
        throw each.bad("who", "is missing");
      }
      steps.add(
          new Step(
              each.time("at", 0),
              each.word("when", Sign.class, Sign.NONE),
              deed,
              who,
              each.number("by", 0) * (each.text("back", "no").equals("yes") ? -1 : 1),
              each.time("for", 0),
              each.word("until", Sign.class, Sign.NONE)));
      each.end();
    }
    double members = top.number("members", 3);
    if (members < 1 || members > 9 || members != Math.rint(members)) {
      throw top.bad("members", "must be a whole number from 1 to 9");
    }
    TrialFile trial =
        new TrialFile(
            top.text("name", file),
            top.text("title", ""),
            (int) members,
            top.time("hold", 1500),
            top.time("every", 200),
            top.text("keeps", "no").equals("yes"),
            top.text("stranger", "no").equals("yes"),
            top.text("list", "no").equals("yes"),
            top.texts("says", List.of()),
            top.texts("never", List.of()),
            List.copyOf(steps));
    top.end();
    return trial;
  }

  /** A trial that comes with the program, null if there is none of this name. */
  public static TrialFile shipped(String name) throws FileException {
    try (InputStream in = TrialFile.class.getResourceAsStream("/trials/" + name + ".toml")) {
      return in == null ? null : read(name, new String(in.readAllBytes(), StandardCharsets.UTF_8));
    } catch (IOException unreadable) {
      throw new UncheckedIOException(unreadable);
    }
  }
}

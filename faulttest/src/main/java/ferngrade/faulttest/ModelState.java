package ferngrade.faulttest;

import ferngrade.lease.Command;
import ferngrade.lease.FencingGuard;
import ferngrade.lease.LeaseHolder;
import ferngrade.lease.LeaseTable;
import ferngrade.lease.Shard;
import java.lang.reflect.Field;
import java.lang.reflect.Modifier;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import java.util.TreeMap;

/**
 * A few members and duties, with a log that is right by definition: what is proposed stands in it
 * now, later or never, each member applies it when it likes, and answers come late or not at all.
 * Whatever can happen next is one of {@link #steps}; members' clocks run apart by all that the
 * bound on drift allows.
 */
final class ModelState {
  private static final double HOLD = 1000;
  private static final double DRIFT = 0.2;
  private static final double QUANTUM = 0.9 * HOLD;
  private static final int MOST_PASSES = 4;
  private static final int MOST_WAITING = 2;
  private static final int MOST_EFFECTS = 2;
  private static final int MOST_CRASHES = 1;
  private static final int ARGUMENTS = 32;

  /** What can happen. */
  private enum Kind {
    /** Time passes for all. */
    PASS,
    /** A member looks what it has to propose. */
    TICK,
    /**
     * All at once, as it mostly is: a member knows the log, looks, and what it proposes stands and
     * is answered.
     */
    ROUND,
    /**
     * What was proposed comes to stand in the log, and its proposer knows the log as far as that.
     */
    COMMIT,
    /** What was proposed is lost. */
    LOSE,
    /** The answer to what was proposed arrives. */
    ANSWER,
    /** A member applies all that stands in the log. */
    CATCH_UP,
    /** A member that holds a shard sends an effect. */
    ACT,
    /** An effect lands. */
    LAND,
    /** A member dies and is there again, knowing nothing. */
    CRASH
  }

  /** A proposal on its way, or standing in the log and not answered yet. */
  private record Proposal(
      int member, int life, double asked, Command command, boolean stands, Object result) {}

  private record Effect(Shard shard, long epoch) {}

  private final Mutant mutant;
  private final boolean calm;
  private final List<Shard> shards = new ArrayList<>();
  private final List<Member> members = new ArrayList<>();
  private final List<Command> log = new ArrayList<>();
  private final List<Proposal> proposals = new ArrayList<>();
  private final List<Effect> effects = new ArrayList<>();
  private final Map<Shard, Long> landed = new TreeMap<>();
  private final FencingGuard fence = new FencingGuard();
  private final LeaseTable truth = new LeaseTable();
  private double now;
  private int crashes;
  private String broken;

  /** A member's process: {@code life} tells it from those before it. */
  private final class Member {
    final int number;
    final double rate;
    int life;
    int applied;

    /** When it looked last, and how much of the log it knew: looking again would change nothing. */
    String looked = "";

    LeaseTable table = new LeaseTable();
    LeaseHolder holder;

    Member(int number) {
      this.number = number;
      this.rate = 1 + (number % 2 == 0 ? -DRIFT : DRIFT);
      this.holder = holder();
    }

    private LeaseHolder holder() {
      double bound = mutant == Mutant.NO_DRIFT_BOUND ? 0 : DRIFT;
      return new LeaseHolder(
          "m" + number,
          "life" + life,
          shards,
          new LeaseHolder.Terms(HOLD, bound),
          command -> proposals.add(new Proposal(number, life, clock(), command, false, null)));
    }

    double clock() {
      return now * rate;
    }

    void catchUp() {
      while (applied < log.size()) {
        Command next = log.get(applied);
        table.apply(++applied, next);
      }
    }

    void crash() {
      life++;
      applied = 0;
      looked = "";
      table = new LeaseTable();
      holder = holder();
    }

    OptionalLong epoch(Shard shard) {
      return holder.epoch(shard, clock(), table);
    }
  }

  /**
   * Members that have their sessions, the shards given out among them; nobody dies and nothing is
   * lost if it is calm.
   */
  ModelState(int size, int duties, boolean calm, Mutant mutant) {
    this.mutant = mutant;
    this.calm = calm;
    for (int i = 0; i < duties; i++) {
      shards.add(new Shard("d" + i, 0));
    }
    for (int i = 0; i < size; i++) {
      members.add(new Member(i));
    }
    for (Member each : members) {
      each.catchUp();
      each.holder.tick(each.clock(), 0, each.table);
      commit(0);
      answer(0);
    }
    members.forEach(Member::catchUp);
  }

  /** A step as a number, which {@code Kind.values()} resolves again in the same run. */
  @SuppressWarnings("EnumOrdinal") // never stored, and made too often for a map
  private static int code(Kind kind, int argument) {
    return kind.ordinal() * ARGUMENTS + argument;
  }

  /** All that can happen next, each as a number. */
  List<Integer> steps() {
    List<Integer> steps = new ArrayList<>();
    if (now < MOST_PASSES * QUANTUM) {
      steps.add(code(Kind.PASS, 0));
    }
    for (Member each : members) {
      long waiting =
          proposals.stream().filter(one -> one.member() == each.number && !one.stands()).count();
      if (waiting < MOST_WAITING && !each.looked.equals(now + " " + each.applied)) {
        steps.add(code(Kind.TICK, each.number));
        steps.add(code(Kind.ROUND, each.number));
      }
      if (each.applied < log.size()) {
        steps.add(code(Kind.CATCH_UP, each.number));
      }
      if (!calm && crashes < MOST_CRASHES) {
        steps.add(code(Kind.CRASH, each.number));
      }
      for (int i = 0; i < shards.size(); i++) {
        if (effects.size() < MOST_EFFECTS && each.epoch(shards.get(i)).isPresent()) {
          steps.add(code(Kind.ACT, each.number * shards.size() + i));
        }
      }
    }
    for (int i = 0; i < proposals.size(); i++) {
      if (proposals.get(i).stands()) {
        steps.add(code(Kind.ANSWER, i));
      } else {
        steps.add(code(Kind.COMMIT, i));
      }
      if (!calm) {
        steps.add(code(Kind.LOSE, i));
      }
    }
    for (int i = 0; i < effects.size(); i++) {
      steps.add(code(Kind.LAND, i));
    }
    return steps;
  }

  /** Does one of the steps. */
  void step(int code) {
    int argument = code % ARGUMENTS;
    switch (Kind.values()[code / ARGUMENTS]) {
      case PASS -> now += QUANTUM;
      case TICK -> {
        Member member = members.get(argument);
        member.looked = now + " " + member.applied;
        member.holder.tick(member.clock(), 0, member.table);
      }
      case ROUND -> round(members.get(argument));
      case COMMIT -> commit(argument);
      case LOSE -> proposals.remove(argument);
      case ANSWER -> answer(argument);
      case CATCH_UP -> members.get(argument).catchUp();
      case ACT -> {
        Member member = members.get(argument / shards.size());
        Shard shard = shards.get(argument % shards.size());
        effects.add(new Effect(shard, member.epoch(shard).getAsLong()));
      }
      case LAND -> land(effects.remove(argument));
      case CRASH -> {
        crashes++;
        members.get(argument).crash();
      }
    }
    judge();
  }

  private void round(Member member) {
    member.catchUp();
    int before = proposals.size();
    member.holder.tick(member.clock(), 0, member.table);
    while (proposals.size() > before) {
      commit(before);
      answer(before);
    }
    member.looked = now + " " + member.applied;
  }

  private void commit(int which) {
    Proposal proposal = proposals.get(which);
    log.add(proposal.command());
    Object result = truth.apply(log.size(), proposal.command());
    proposals.set(
        which,
        new Proposal(
            proposal.member(),
            proposal.life(),
            proposal.asked(),
            proposal.command(),
            true,
            result));
    Member member = members.get(proposal.member());
    if (member.life == proposal.life()) {
      member.catchUp();
    }
  }

  private void answer(int which) {
    Proposal proposal = proposals.remove(which);
    Member member = members.get(proposal.member());
    if (member.life == proposal.life()) {
      member.holder.answered(
          mutant == Mutant.HOLD_FROM_ANSWER ? member.clock() : proposal.asked(),
          proposal.command(),
          proposal.result());
    }
  }

  private void land(Effect effect) {
    if (fence.admits(effect.shard().toString(), effect.epoch())
        || mutant == Mutant.NO_EPOCH_CHECK) {
      long before = landed.merge(effect.shard(), effect.epoch(), Math::max);
      if (before > effect.epoch()) {
        broken = "fenced";
      }
    }
  }

  private void judge() {
    for (Shard shard : shards) {
      if (members.stream().filter(each -> each.epoch(shard).isPresent()).count() > 1) {
        broken = "one owner";
      }
    }
  }

  /** The rule that was broken, null for none. */
  String broken() {
    return broken;
  }

  /** All that what comes next depends on, as a text. */
  String picture() {
    StringBuilder text =
        new StringBuilder()
            .append(now)
            .append(' ')
            .append(crashes)
            .append(log)
            .append(effects)
            .append(landed);
    proposals.forEach(each -> text.append(each));
    for (Member each : members) {
      text.append('|')
          .append(each.life)
          .append(' ')
          .append(each.applied)
          .append(' ')
          .append(each.looked);
      picture(each.holder, text);
    }
    return text.toString();
  }

  /** The fields that change; the class under test need not know that it is looked at. */
  private static void picture(LeaseHolder holder, StringBuilder text) {
    for (Field field : LeaseHolder.class.getDeclaredFields()) {
      try {
        field.setAccessible(true);
        Object value = field.get(holder);
        if (value instanceof Map<?, ?> map) {
          Map<String, Object> sorted = new TreeMap<>();
          map.forEach((key, one) -> sorted.put(key.toString(), one));
          text.append(sorted);
        } else if (!Modifier.isFinal(field.getModifiers())) {
          text.append(value).append(' ');
        }
      } catch (IllegalAccessException closed) {
        throw new IllegalStateException(closed);
      }
    }
  }
}

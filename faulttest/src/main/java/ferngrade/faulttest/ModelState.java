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
 * A model of a few members and shards. The log is assumed to be correct. A proposal is committed at
 * once, later or never. Each member applies the log at any time, and answers arrive late or never.
 * The members' clocks differ by the full drift bound. {@link #steps} returns all possible next
 * steps.
 */
final class ModelState {
  private static final double LEASE_MILLIS = 1000;
  private static final double MAX_CLOCK_DRIFT = 0.2;
  private static final double TIME_STEP_MILLIS = 0.9 * LEASE_MILLIS;
  private static final int MAX_TIME_STEPS = 4;
  private static final int MAX_PENDING_PROPOSALS = 2;
  private static final int MAX_EFFECTS_IN_FLIGHT = 2;
  private static final int MAX_CRASHES = 1;
  private static final int MAX_ARGUMENTS = 32;

  /** The type of a step. */
  private enum StepType {
    /** The time of all members advances. */
    PASS,
    /** A member's lease holder runs its tick, and may propose commands. */
    TICK,
    /**
     * The common case in one step. A member applies the whole log and runs its tick. Its proposals
     * are then committed and answered.
     */
    ROUND,
    /** A proposal is committed, and its proposer applies the log up to it. */
    COMMIT,
    /** A proposal is lost. */
    LOSE,
    /** The answer to a proposal arrives. */
    ANSWER,
    /** A member applies all committed entries. */
    CATCH_UP,
    /** A member that owns a shard sends an effect. */
    ACT,
    /** An effect is executed. */
    LAND,
    /** A member crashes and restarts without its state. */
    CRASH
  }

  /** A proposal that is in flight, or that is committed but not answered yet. */
  private record Proposal(
      int member,
      int incarnation,
      double proposedAt,
      Command command,
      boolean committed,
      Object result) {}

  private record Effect(Shard shard, long epoch) {}

  private final Mutant mutant;
  private final boolean faultFree;
  private final List<Shard> shards = new ArrayList<>();
  private final List<Member> members = new ArrayList<>();
  private final List<Command> log = new ArrayList<>();
  private final List<Proposal> proposals = new ArrayList<>();
  private final List<Effect> effects = new ArrayList<>();
  private final Map<Shard, Long> executedEpochs = new TreeMap<>();
  private final FencingGuard fencingGuard = new FencingGuard();
  private final LeaseTable referenceTable = new LeaseTable();
  private double now;
  private int crashes;
  private String violatedRule;

  /**
   * A member's process; {@code incarnation} distinguishes it from earlier processes of the member.
   */
  private final class Member {
    final int number;
    final double rate;
    int incarnation;
    int applied;

    /**
     * The time of the last tick and the log index applied at that time. Another tick with the same
     * values would change nothing.
     */
    String lastTick = "";

    LeaseTable table = new LeaseTable();
    LeaseHolder holder;

    Member(int number) {
      this.number = number;
      this.rate = 1 + (number % 2 == 0 ? -MAX_CLOCK_DRIFT : MAX_CLOCK_DRIFT);
      this.holder = holder();
    }

    private LeaseHolder holder() {
      double driftBound = mutant == Mutant.NO_DRIFT_BOUND ? 0 : MAX_CLOCK_DRIFT;
      return new LeaseHolder(
          "m" + number,
          "life" + incarnation,
          shards,
          new LeaseHolder.Timing(LEASE_MILLIS, driftBound),
          command ->
              proposals.add(new Proposal(number, incarnation, clock(), command, false, null)));
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
      incarnation++;
      applied = 0;
      lastTick = "";
      table = new LeaseTable();
      holder = holder();
    }

    OptionalLong epoch(Shard shard) {
      return holder.epoch(shard, clock(), table);
    }
  }

  /**
   * Creates members that have sessions and own the shards. If {@code faultFree}, no member crashes
   * and no proposal is lost.
   */
  ModelState(int size, int shardCount, boolean faultFree, Mutant mutant) {
    this.mutant = mutant;
    this.faultFree = faultFree;
    for (int i = 0; i < shardCount; i++) {
      shards.add(new Shard("d" + i, 0));
    }
    for (int i = 0; i < size; i++) {
      members.add(new Member(i));
    }
    for (Member member : members) {
      member.catchUp();
      member.holder.tick(member.clock(), 0, member.table);
      commit(0);
      answer(0);
    }
    members.forEach(Member::catchUp);
  }

  /**
   * Encodes a step as a number. The number is decoded with {@code StepType.values()} in the same
   * run.
   */
  @SuppressWarnings("EnumOrdinal") // never stored, and computed too often for a map
  private static int code(StepType type, int argument) {
    return type.ordinal() * MAX_ARGUMENTS + argument;
  }

  /** Returns all possible next steps, each as a number. */
  List<Integer> steps() {
    List<Integer> steps = new ArrayList<>();
    if (now < MAX_TIME_STEPS * TIME_STEP_MILLIS) {
      steps.add(code(StepType.PASS, 0));
    }
    for (Member member : members) {
      long pending =
          proposals.stream()
              .filter(proposal -> proposal.member() == member.number && !proposal.committed())
              .count();
      if (pending < MAX_PENDING_PROPOSALS && !member.lastTick.equals(now + " " + member.applied)) {
        steps.add(code(StepType.TICK, member.number));
        steps.add(code(StepType.ROUND, member.number));
      }
      if (member.applied < log.size()) {
        steps.add(code(StepType.CATCH_UP, member.number));
      }
      if (!faultFree && crashes < MAX_CRASHES) {
        steps.add(code(StepType.CRASH, member.number));
      }
      for (int i = 0; i < shards.size(); i++) {
        if (effects.size() < MAX_EFFECTS_IN_FLIGHT && member.epoch(shards.get(i)).isPresent()) {
          steps.add(code(StepType.ACT, member.number * shards.size() + i));
        }
      }
    }
    for (int i = 0; i < proposals.size(); i++) {
      if (proposals.get(i).committed()) {
        steps.add(code(StepType.ANSWER, i));
      } else {
        steps.add(code(StepType.COMMIT, i));
      }
      if (!faultFree) {
        steps.add(code(StepType.LOSE, i));
      }
    }
    for (int i = 0; i < effects.size(); i++) {
      steps.add(code(StepType.LAND, i));
    }
    return steps;
  }

  /** Executes one of the steps. */
  void step(int code) {
    int argument = code % MAX_ARGUMENTS;
    switch (StepType.values()[code / MAX_ARGUMENTS]) {
      case PASS -> now += TIME_STEP_MILLIS;
      case TICK -> {
        Member member = members.get(argument);
        member.lastTick = now + " " + member.applied;
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
      case LAND -> executeEffect(effects.remove(argument));
      case CRASH -> {
        crashes++;
        members.get(argument).crash();
      }
    }
    checkSingleOwner();
  }

  private void round(Member member) {
    member.catchUp();
    int before = proposals.size();
    member.holder.tick(member.clock(), 0, member.table);
    while (proposals.size() > before) {
      commit(before);
      answer(before);
    }
    member.lastTick = now + " " + member.applied;
  }

  private void commit(int index) {
    Proposal proposal = proposals.get(index);
    log.add(proposal.command());
    Object result = referenceTable.apply(log.size(), proposal.command());
    proposals.set(
        index,
        new Proposal(
            proposal.member(),
            proposal.incarnation(),
            proposal.proposedAt(),
            proposal.command(),
            true,
            result));
    Member member = members.get(proposal.member());
    if (member.incarnation == proposal.incarnation()) {
      member.catchUp();
    }
  }

  private void answer(int index) {
    Proposal proposal = proposals.remove(index);
    Member member = members.get(proposal.member());
    if (member.incarnation == proposal.incarnation()) {
      member.holder.commandAnswered(
          mutant == Mutant.HOLD_FROM_ANSWER ? member.clock() : proposal.proposedAt(),
          proposal.command(),
          proposal.result());
    }
  }

  private void executeEffect(Effect effect) {
    if (fencingGuard.admits(effect.shard().toString(), effect.epoch())
        || mutant == Mutant.NO_EPOCH_CHECK) {
      long before = executedEpochs.merge(effect.shard(), effect.epoch(), Math::max);
      if (before > effect.epoch()) {
        violatedRule = "fenced";
      }
    }
  }

  private void checkSingleOwner() {
    for (Shard shard : shards) {
      if (members.stream().filter(member -> member.epoch(shard).isPresent()).count() > 1) {
        violatedRule = "one owner";
      }
    }
  }

  /** Returns the violated rule; null if no rule is violated. */
  String violatedRule() {
    return violatedRule;
  }

  /** Returns the part of the state that all later steps depend on, as a text. */
  String describe() {
    StringBuilder text =
        new StringBuilder()
            .append(now)
            .append(' ')
            .append(crashes)
            .append(log)
            .append(effects)
            .append(executedEpochs);
    proposals.forEach(proposal -> text.append(proposal));
    for (Member member : members) {
      text.append('|')
          .append(member.incarnation)
          .append(' ')
          .append(member.applied)
          .append(' ')
          .append(member.lastTick);
      describe(member.holder, text);
    }
    return text.toString();
  }

  /**
   * Appends the mutable fields of the lease holder. The fields are read by reflection, so that the
   * class under test needs no accessors for this test.
   */
  private static void describe(LeaseHolder holder, StringBuilder text) {
    for (Field field : LeaseHolder.class.getDeclaredFields()) {
      try {
        field.setAccessible(true);
        Object value = field.get(holder);
        if (value instanceof Map<?, ?> map) {
          Map<String, Object> sorted = new TreeMap<>();
          map.forEach((key, entry) -> sorted.put(key.toString(), entry));
          text.append(sorted);
        } else if (!Modifier.isFinal(field.getModifiers())) {
          text.append(value).append(' ');
        }
      } catch (IllegalAccessException inaccessible) {
        throw new IllegalStateException(inaccessible);
      }
    }
  }
}

package ferngrade.lease;

/**
 * A part of a duty. Each shard has at most one owner. A duty that is not partitioned has only shard
 * 0.
 */
public record Shard(String duty, int number) implements Comparable<Shard> {
  @Override
  public int compareTo(Shard other) {
    int byDuty = duty.compareTo(other.duty);
    return byDuty != 0 ? byDuty : Integer.compare(number, other.number);
  }

  @Override
  public String toString() {
    return duty + "/" + number;
  }
}

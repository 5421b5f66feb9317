package ferngrade.consensus;

import ferngrade.node.Clock;
import java.time.Instant;
import java.time.ZoneId;
import java.time.ZoneOffset;

/**
 * Scales the member's monotonic clock for the algorithm, so that one heartbeat interval is one
 * second.
 */
final class ScaledClock extends java.time.Clock {
  private final Clock clock;
  private final double scale;

  ScaledClock(Clock clock, double scale) {
    this.clock = clock;
    this.scale = scale;
  }

  @Override
  public ZoneId getZone() {
    return ZoneOffset.UTC;
  }

  @Override
  public java.time.Clock withZone(ZoneId zone) {
    return this;
  }

  @Override
  public long millis() {
    return (long) (clock.now() / scale);
  }

  @Override
  public Instant instant() {
    return Instant.ofEpochMilli(millis());
  }
}

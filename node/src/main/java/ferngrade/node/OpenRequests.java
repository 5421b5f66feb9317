package ferngrade.node;

/** The number of requests in one state and the age of the oldest of them, ms. */
public record OpenRequests(int count, double oldest) {
  OpenRequests plus(OpenRequests other) {
    return new OpenRequests(count + other.count, Math.max(oldest, other.oldest));
  }
}

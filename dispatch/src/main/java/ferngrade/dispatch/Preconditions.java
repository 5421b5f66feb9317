package ferngrade.dispatch;

/** Checks arguments and names the invalid field in the exception. */
final class Preconditions {
  private Preconditions() {}

  static void checkRange(boolean inRange, String field, Object value) {
    if (!inRange) {
      throw new IllegalArgumentException(field + " is out of range: " + value);
    }
  }
}

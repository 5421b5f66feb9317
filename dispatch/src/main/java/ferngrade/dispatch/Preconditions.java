package ferngrade.dispatch;

/** Checks arguments and names the invalid field in the exception. */
final class Preconditions {
  private Preconditions() {}

  static void that(boolean holds, String field, Object value) {
    if (!holds) {
      throw new IllegalArgumentException(field + " is out of range: " + value);
    }
  }
}

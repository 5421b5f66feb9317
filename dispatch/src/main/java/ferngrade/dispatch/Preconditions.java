package ferngrade.dispatch;

/** Says plainly which field is wrong. */
final class Preconditions {
  private Preconditions() {}

  static void that(boolean holds, String field, Object value) {
    if (!holds) {
      throw new IllegalArgumentException(field + " is out of range: " + value);
    }
  }
}

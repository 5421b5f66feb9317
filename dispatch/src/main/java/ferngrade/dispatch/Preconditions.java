package ferngrade.dispatch;

/** Argument checks that name the field at fault. */
final class Preconditions {
  private Preconditions() {}

  static void that(boolean holds, String field, Object value) {
    if (!holds) {
      throw new IllegalArgumentException(field + " is out of range: " + value);
    }
  }
}

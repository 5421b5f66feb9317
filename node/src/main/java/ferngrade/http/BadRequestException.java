package ferngrade.http;

/** A request that cannot be used; the message says why, for its sender. */
final class BadRequestException extends Exception {
  private static final long serialVersionUID = 1L;

  BadRequestException(String message) {
    super(message);
  }
}

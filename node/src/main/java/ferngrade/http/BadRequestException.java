package ferngrade.http;

/** Thrown for an invalid request; the message tells its sender the reason. */
final class BadRequestException extends Exception {
  private static final long serialVersionUID = 1L;

  BadRequestException(String message) {
    super(message);
  }
}

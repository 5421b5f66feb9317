package ferngrade.http;

/** Thrown for an invalid request; the message states the reason and is sent to the client. */
final class BadRequestException extends Exception {
  private static final long serialVersionUID = 1L;

  BadRequestException(String message) {
    super(message);
  }
}

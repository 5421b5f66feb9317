package ferngrade.simulator;

/** Input that is not on the wire's terms; the message names the line and the field. */
public final class WireException extends RuntimeException {
  private static final long serialVersionUID = 1L;

  WireException(String message) {
    super(message);
  }
}

package ferngrade.simulator;

/** Thrown for input that violates the protocol; the message names the line and the field. */
public final class WireException extends RuntimeException {
  private static final long serialVersionUID = 1L;

  WireException(String message) {
    super(message);
  }
}

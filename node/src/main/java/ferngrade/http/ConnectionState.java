package ferngrade.http;

/** What a client connection is doing. */
public enum ConnectionState {
  /** Between requests, or one is arriving. */
  RESTING,
  /** A request is being handled. */
  BUSY,
  /** This side has closed; what still arrives is dropped, as it could not be answered. */
  CLOSING
}

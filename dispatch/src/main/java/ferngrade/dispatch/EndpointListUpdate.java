package ferngrade.dispatch;

/**
 * CHANGES: changed entries only; WHOLE: the complete list; STORED: the complete list kept over a
 * restart.
 */
public enum EndpointListUpdate {
  CHANGES,
  WHOLE,
  STORED
}

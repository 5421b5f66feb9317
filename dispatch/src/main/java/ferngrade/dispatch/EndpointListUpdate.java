package ferngrade.dispatch;

/**
 * The type of an endpoint list update. CHANGES: only changed entries. WHOLE: the complete list.
 * STORED: the complete list stored before a restart.
 */
public enum EndpointListUpdate {
  CHANGES,
  WHOLE,
  STORED
}

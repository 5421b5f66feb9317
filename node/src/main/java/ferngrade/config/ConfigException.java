package ferngrade.config;

/** A configuration that cannot be used; the message is one plain line that names the field. */
public final class ConfigException extends Exception {
  private static final long serialVersionUID = 1L;

  /** Names the field and what is wrong with it. */
  public ConfigException(String field, String problem) {
    super(field + " " + problem);
  }
}

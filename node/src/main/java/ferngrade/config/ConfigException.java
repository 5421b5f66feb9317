package ferngrade.config;

/** Thrown for an invalid configuration; the message is a single line that names the field. */
public final class ConfigException extends Exception {
  private static final long serialVersionUID = 1L;

  /** Creates the message from the name of the field and a description of the problem. */
  public ConfigException(String field, String problem) {
    super(field + " " + problem);
  }
}

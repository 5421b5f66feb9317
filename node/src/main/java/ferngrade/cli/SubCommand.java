package ferngrade.cli;

/**
 * A sub-command that another module brings, found through {@link java.util.ServiceLoader}: a class
 * with picocli's annotations. The lean jar has none of them.
 */
public interface SubCommand {}

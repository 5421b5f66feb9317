package ferngrade.cli;

/**
 * Marks a class with picocli's annotations as a sub-command provided by another module and found
 * through {@link java.util.ServiceLoader}. The lean jar contains no implementation.
 */
public interface SubCommand {}

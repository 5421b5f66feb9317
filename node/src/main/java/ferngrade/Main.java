package ferngrade;

import ferngrade.cli.Cli;

/** The entry point of the program; {@link Cli} runs the commands. */
public final class Main {
  /**
   * The property that enables Netty's flight recorder events. They are disabled because the runtime
   * would otherwise load their classes on the event loop when the first buffer is allocated.
   */
  private static final String NETTY_EVENTS_PROPERTY = "io.netty.jfr.enabled";

  private Main() {}

  /** Runs one sub-command and exits with its exit code. */
  public static void main(String[] arguments) {
    if (System.getProperty(NETTY_EVENTS_PROPERTY) == null) {
      System.setProperty(NETTY_EVENTS_PROPERTY, "false");
    }
    System.exit(Cli.run(arguments));
  }
}

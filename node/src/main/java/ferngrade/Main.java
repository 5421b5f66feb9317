package ferngrade;

import ferngrade.cli.Cli;

/** The program's entry; everything else is {@link Cli}'s. */
public final class Main {
  private Main() {}

  /** Runs one sub-command and ends with its exit code. */
  public static void main(String[] arguments) {
    System.exit(Cli.run(arguments));
  }
}

package ferngrade.fleet;

import ferngrade.cli.SubCommand;
import picocli.CommandLine;

/** A command that only groups sub-commands and fails if none is given. */
abstract class CommandGroup implements SubCommand, Runnable {
  @CommandLine.Spec private CommandLine.Model.CommandSpec spec;

  @Override
  public void run() {
    throw new CommandLine.ParameterException(spec.commandLine(), "a sub-command is missing");
  }
}

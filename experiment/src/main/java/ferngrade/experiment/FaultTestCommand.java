package ferngrade.experiment;

import ferngrade.cli.SubCommand;
import picocli.CommandLine;
import picocli.CommandLine.Command;

/** The commands that run fault tests: members of a fleet with faults injected between them. */
@Command(
    name = "faulttest",
    description =
        "Runs members of a fleet, or processes of a node, with faults between them and checks what"
            + " came of it.",
    mixinStandardHelpOptions = true,
    subcommands = {
      FaultTestRunCommand.class,
      FaultTestSwarmCommand.class,
      FaultTestUpgradeCommand.class,
      FaultTestLoadShiftCommand.class,
      FaultTestChurnCommand.class,
      CommandLine.HelpCommand.class
    })
public final class FaultTestCommand implements SubCommand, Runnable {
  @CommandLine.Spec private CommandLine.Model.CommandSpec spec;

  @Override
  public void run() {
    throw new CommandLine.ParameterException(spec.commandLine(), "a sub-command is missing");
  }
}

package ferngrade.experiment;

import ferngrade.cli.SubCommand;
import picocli.CommandLine;
import picocli.CommandLine.Command;

/** Groups the commands that run fault tests on members of a fleet or processes of a node. */
@Command(
    name = "faulttest",
    description =
        "Runs members of a fleet or processes of a node with injected faults and checks their"
            + " invariants.",
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
    throw new CommandLine.ParameterException(spec.commandLine(), "a subcommand is missing");
  }
}

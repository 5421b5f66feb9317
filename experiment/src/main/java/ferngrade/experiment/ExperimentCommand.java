package ferngrade.experiment;

import ferngrade.cli.SubCommand;
import picocli.CommandLine;
import picocli.CommandLine.Command;

/** Groups the commands that run experiments on an emulated fleet. */
@Command(
    name = "experiment",
    description = "Runs experiments on an emulated fleet and stores their results.",
    mixinStandardHelpOptions = true,
    subcommands = {
      RunCommand.class,
      CompareCommand.class,
      SearchCommand.class,
      ReplayCommand.class,
      GraphCommand.class,
      LoadCommand.class,
      NodeCommand.class,
      ReportCommand.class,
      StoreCommand.class,
      BenchCommand.class,
      CommandLine.HelpCommand.class
    })
public final class ExperimentCommand implements SubCommand, Runnable {
  @CommandLine.Spec private CommandLine.Model.CommandSpec spec;

  @Override
  public void run() {
    throw new CommandLine.ParameterException(spec.commandLine(), "a subcommand is missing");
  }
}

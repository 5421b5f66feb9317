package ferngrade.cli;

import java.io.IOException;
import java.io.InputStream;
import java.io.UncheckedIOException;
import java.util.Properties;
import java.util.ServiceLoader;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.IVersionProvider;

/**
 * The command line and its sub-commands: those of the lean jar, and the implementations of {@link
 * SubCommand} on the class path.
 */
@Command(
    name = "ferngrade",
    description = "A dispatcher that pushes jobs to workers.",
    mixinStandardHelpOptions = true,
    versionProvider = Cli.Version.class,
    subcommands = {
      Serve.class,
      CheckConfig.class,
      WireHostCommand.class,
      VersionCommand.class,
      CommandLine.HelpCommand.class
    })
public final class Cli implements Runnable {
  /** The exit code for an invalid configuration. */
  public static final int BAD_CONFIG = 2;

  @CommandLine.Spec private CommandLine.Model.CommandSpec spec;

  /** Runs one sub-command; returns the exit code. */
  public static int run(String... arguments) {
    // The platform restarts a node with this argument alone. Loading the classes of picocli, which
    // no class archive contains, would take over a third of the start time.
    if (arguments.length == 1 && arguments[0].equals(Serve.NAME)) {
      try {
        return new Serve().call();
      } catch (InterruptedException interrupted) {
        return 1;
      }
    }
    CommandLine line = new CommandLine(new Cli());
    ServiceLoader.load(SubCommand.class).forEach(line::addSubcommand);
    return line.execute(arguments);
  }

  @Override
  public void run() {
    throw new CommandLine.ParameterException(spec.commandLine(), "a sub-command is missing");
  }

  /** Reads the version from the properties file written by the build. */
  static final class Version implements IVersionProvider {
    @Override
    public String[] getVersion() {
      Properties properties = new Properties();
      try (InputStream file = Cli.class.getResourceAsStream("/ferngrade/version.properties")) {
        properties.load(file);
      } catch (IOException unreadable) {
        throw new UncheckedIOException(unreadable);
      }
      return new String[] {"ferngrade " + properties.getProperty("version")};
    }
  }
}

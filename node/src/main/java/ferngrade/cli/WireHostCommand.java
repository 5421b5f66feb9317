package ferngrade.cli;

import ferngrade.simulator.SimulatorHost;
import ferngrade.simulator.WireException;
import java.io.FileDescriptor;
import java.io.FileOutputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;

/** Runs the dispatcher under the simulator's protocol. */
@Command(
    name = "wirehost",
    description = "Serves the simulator's protocol on standard input and output.")
final class WireHostCommand implements Callable<Integer> {
  @Override
  public Integer call() {
    try (OutputStream out = new FileOutputStream(FileDescriptor.out)) {
      SimulatorHost.run(System.in, out);
      return 0;
    } catch (WireException | IOException failure) {
      System.err.println("ferngrade: " + failure.getMessage());
      return 1;
    }
  }
}

package ferngrade.emulator.socket;

import ferngrade.emulator.Clients;
import ferngrade.emulator.Network;
import ferngrade.emulator.Observer;
import ferngrade.emulator.Observers;
import ferngrade.emulator.RandomStreams;
import ferngrade.emulator.Scenario;
import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;

/** Runs only the emulated clients, as an open-loop load generator for externally started nodes. */
public final class LoadRun {
  private final Scenario scenario;
  private final EventLoopGroup group =
      new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
  private final EventLoop loop = group.next();
  private final RealTime time = new RealTime(loop);
  private final Clients clients;

  /** Creates a load run of the scenario's workload, with round-robin over the target addresses. */
  public LoadRun(
      Scenario scenario,
      long seed,
      List<InetSocketAddress> targets,
      List<? extends Observer> observers) {
    this.scenario = scenario;
    RandomStreams streams = new RandomStreams(seed);
    Observer observer = new Observers(observers);
    Network network =
        new Network(scenario.network, scenario.zones.size(), streams.stream("network"));
    int[] next = {0};
    ClientSockets sockets =
        new ClientSockets(
            scenario,
            time,
            network,
            new HttpPool(group),
            observer,
            request -> Math.floorMod(next[0]++, targets.size()),
            targets::get,
            node -> false);
    this.clients = new Clients(scenario, time, streams, observer, sockets);
    sockets.setClients(clients);
  }

  /**
   * Generates load until every client has received its answer or given up. Returns the reason why
   * the results are invalid, or null if they are valid.
   */
  public String run() throws InterruptedException {
    try {
      CountDownLatch done = new CountDownLatch(1);
      loop.execute(
          () -> {
            time.watchLateness();
            clients.begin();
            time.after(scenario.duration, () -> finish(done));
          });
      long longestDeadline =
          (long)
              scenario.workload.classes.stream()
                  .mapToDouble(jobClass -> jobClass.deadline)
                  .max()
                  .orElse(0);
      boolean ended =
          done.await((long) scenario.duration + longestDeadline + 20_000, TimeUnit.MILLISECONDS);
      return ended
          ? time.invalidReason()
          : "clients were still waiting for answers long after the last deadline";
    } finally {
      group.shutdownGracefully(0, 1000, TimeUnit.MILLISECONDS).await();
    }
  }

  private void finish(CountDownLatch done) {
    if (clients.openRequests() > 0) {
      time.after(100, () -> finish(done));
    } else {
      done.countDown();
    }
  }
}

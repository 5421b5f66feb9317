package ferngrade.fleet;

import ferngrade.codec.Codec;
import ferngrade.lease.EndpointListRelay;
import ferngrade.lease.EndpointListRelay.Fed;
import ferngrade.lease.EndpointListRelay.Whole;
import ferngrade.node.Clock;
import java.io.IOException;
import java.util.List;
import java.util.OptionalLong;
import java.util.concurrent.Executor;
import java.util.function.BiConsumer;
import java.util.function.Consumer;

/**
 * The worker list asked for once: what {@link EndpointListRelay} decides, on sockets. Belongs to
 * the member's thread.
 */
final class EndpointListRelayTransport implements AutoCloseable {
  private final Codec codec = new Codec(List.of(Fed.class, Whole.class, Answer.class));
  private final ListCopy copy = new ListCopy();
  private final Clock clock;
  private final List<String> others;
  private final BiConsumer<String, byte[]> links;
  private final Consumer<String> log;
  private final ListService service;
  private final ListWatch watch;
  private final EndpointListRelay list;
  private String feeder;

  /** The whole list, which was asked for. */
  record Answer(Fed fed) {}

  /** What it is made from: messages go to other members by {@code links}. */
  record Surroundings(
      Clock clock, Executor loop, BiConsumer<String, byte[]> links, Consumer<String> log) {}

  EndpointListRelayTransport(FleetFile file, String name, Surroundings around) throws IOException {
    this.clock = around.clock();
    this.links = around.links();
    this.log = around.log();
    this.others =
        file.members().stream()
            .map(FleetFile.Member::name)
            .filter(each -> !each.equals(name))
            .toList();
    this.service =
        file.member(name).list() == null ? null : new ListService(file.member(name).list());
    this.watch = new ListWatch(file.discovery(), around.loop(), this::told);
    this.list = new EndpointListRelay(clock.now(), new Does());
  }

  /**
   * Looks what is to be done; {@code held} is the epoch under which this member owns the asking, if
   * it does.
   */
  void look(OptionalLong held) {
    double now = clock.now();
    list.look(now, held);
    watch.look(now);
    if (service != null) {
      service.age(list.age(now));
    }
  }

  /** The address at which the node asks, as text; null for none. */
  String address() {
    return service == null
        ? null
        : service.address().getHostString() + ":" + service.address().getPort();
  }

  private void told(String line) {
    watch.heard(clock.now());
    list.told(clock.now(), line);
  }

  /** A message of another member. */
  void received(String from, byte[] message) {
    Object read;
    try {
      read = codec.read(message, 0, message.length);
    } catch (IOException malformed) {
      return;
    }
    if (read instanceof Fed fed && fed.line() != null) {
      feeder = from;
      list.fed(clock.now(), fed);
    } else if (read instanceof Answer answer
        && answer.fed() != null
        && answer.fed().line() != null) {
      list.fedWhole(clock.now(), answer.fed());
    } else if (read instanceof Whole asked) {
      Fed whole = list.whole(clock.now(), asked);
      if (whole != null) {
        links.accept(from, codec.write(new Answer(whole)));
      }
    }
  }

  @Override
  public void close() {
    watch.want(false);
    if (service != null) {
      service.close();
    }
  }

  private final class Does implements EndpointListRelay.Actions {
    @Override
    public void ask() {
      log.accept("list asking=yes");
      watch.want(true);
    }

    @Override
    public void stopAsking() {
      log.accept("list asking=no fed by=" + feeder);
      watch.want(false);
    }

    @Override
    public void pass(String line) {
      try {
        copy.take(line);
      } catch (RuntimeException noList) {
        log.accept("list told what is no list: " + noList.getMessage());
        return;
      }
      if (service != null) {
        service.pass(line, copy.whole());
      }
    }

    @Override
    public String whole() {
      return copy.whole();
    }

    @Override
    public void feed(Fed fed) {
      byte[] bytes = codec.write(fed);
      others.forEach(other -> links.accept(other, bytes));
    }

    @Override
    public void askWhole(Whole asked) {
      if (feeder != null) {
        links.accept(feeder, codec.write(asked));
      }
    }
  }
}

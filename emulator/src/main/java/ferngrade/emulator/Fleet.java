package ferngrade.emulator;

import ferngrade.dispatch.Idempotency;
import ferngrade.dispatch.WorkerState;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.IntFunction;
import org.apache.commons.rng.UniformRandomProvider;

/** All workers that a run has had, and what they share: the windows of keys. */
public final class Fleet {
  private final Scenario scenario;
  private final Scheduler time;
  private final Streams streams;
  private final Observer observer;
  private final IntFunction<InetSocketAddress> addresses;
  private final UniformRandomProvider chance;
  private final List<Draw.Spread> noise;
  private final KeyWindows windows;
  private final List<EmulatedWorker> all = new ArrayList<>();
  private final Map<InetSocketAddress, EmulatedWorker> byAddress = new HashMap<>();
  private final Map<Long, EmulatedWorker> byId = new HashMap<>();

  /** The scenario's fleet; {@code addresses} says where the worker with a number is reached. */
  public Fleet(
      Scenario scenario,
      Scheduler time,
      Streams streams,
      Observer observer,
      IntFunction<InetSocketAddress> addresses) {
    this.scenario = scenario;
    this.time = time;
    this.streams = streams;
    this.observer = observer;
    this.addresses = addresses;
    this.chance = streams.stream("attempts");
    this.noise =
        scenario.workload.classes.stream().map(each -> Draw.Spread.of(each.attemptNoise)).toList();
    this.windows = new KeyWindows(time);
    for (int i = 0; i < scenario.workers; i++) {
      add(scenario.kindOf(i), i % scenario.zones.size(), 0);
    }
  }

  /** Adds a worker whose process started at {@code startedAt}, 0 for long ago. */
  EmulatedWorker add(int kind, int zone, double startedAt) {
    int number = all.size();
    KindSpec spec = scenario.kinds.get(kind);
    EmulatedWorker[] self = new EmulatedWorker[1];
    WorkerModel model =
        new WorkerModel(
            time,
            spec,
            startedAt,
            scenario.fallMultiple,
            scenario.tipMs,
            streams.stream("worker-" + number),
            share -> observer.fell(time.now(), self[0], share));
    long id = streams.seed("id-" + number) >>> 1;
    EmulatedWorker worker =
        new EmulatedWorker(
            number,
            id,
            zone,
            kind,
            number / scenario.cellSize,
            spec,
            addresses.apply(number),
            model);
    self[0] = worker;
    all.add(worker);
    byAddress.put(worker.address, worker);
    byId.put(id, worker);
    return worker;
  }

  /** Offers an attempt to a worker's process; false is 'full'. */
  public boolean offer(
      EmulatedWorker worker, Request request, boolean informed, WorkerModel.Ear ear) {
    ClassSpec spec = scenario.workload.classes.get(request.jobClass);
    if (worker.model.cold()) {
      observer.reached(time.now(), worker, request, informed);
    }
    double work = request.work * noise.get(request.jobClass).draw(chance);
    WorkerModel.Work asked =
        new WorkerModel.Work(
            request.id,
            work,
            spec.slots,
            spec.priority,
            request.object,
            scenario.workload.fetch * scenario.workload.meanWork());
    if (spec.effect != Idempotency.KEYED || request.key == null) {
      return worker.model.offer(asked, informed, ear);
    }
    String key = KeyWindows.name(spec.scope, worker.zone, worker.cell, request.key);
    if (!windows.first(key, spec.window, end -> repeat(ear, end))) {
      return true;
    }
    boolean taken =
        worker.model.offer(
            asked, informed, WorkerModel.ending(ear, end -> windows.ended(key, end)));
    if (!taken) {
      windows.ended(key, KeyWindows.End.RETURNED);
    }
    return taken;
  }

  private static void repeat(WorkerModel.Ear ear, KeyWindows.End end) {
    switch (end) {
      case DONE -> ear.done();
      case FAILED -> ear.failed();
      case RETURNED -> ear.returned();
      default -> ear.lost();
    }
  }

  /** The worker at an address. */
  public EmulatedWorker at(InetSocketAddress address) {
    return byAddress.get(address);
  }

  /** The worker that nodes know under this id. */
  public EmulatedWorker byId(long id) {
    return byId.get(id);
  }

  /** All workers that there have been, in the order of their numbers. */
  public List<EmulatedWorker> all() {
    return Collections.unmodifiableList(all);
  }

  /** Those that are in service: listed as ready, and up. */
  public List<EmulatedWorker> serving() {
    return all.stream().filter(each -> each.phase == WorkerState.READY && each.model.up()).toList();
  }

  /** Repeats that workers have dropped. */
  public long repeatsDropped() {
    return windows.dropped();
  }
}

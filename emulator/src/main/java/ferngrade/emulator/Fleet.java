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

/** Holds all workers of a run, including removed ones, and their shared idempotency windows. */
public final class Fleet {
  private final Scenario scenario;
  private final Scheduler time;
  private final RandomStreams streams;
  private final Observer observer;
  private final IntFunction<InetSocketAddress> addresses;
  private final UniformRandomProvider random;
  private final List<Draw.LognormalFactor> attemptNoise;
  private final KeyWindows keyWindows;
  private final List<EmulatedWorker> all = new ArrayList<>();
  private final Map<InetSocketAddress, EmulatedWorker> byAddress = new HashMap<>();
  private final Map<Long, EmulatedWorker> byId = new HashMap<>();

  /**
   * Creates the fleet of a scenario. {@code addresses} returns the address of the worker with a
   * given number.
   */
  public Fleet(
      Scenario scenario,
      Scheduler time,
      RandomStreams streams,
      Observer observer,
      IntFunction<InetSocketAddress> addresses) {
    this.scenario = scenario;
    this.time = time;
    this.streams = streams;
    this.observer = observer;
    this.addresses = addresses;
    this.random = streams.stream("attempts");
    this.attemptNoise =
        scenario.workload.classes.stream()
            .map(jobClass -> Draw.LognormalFactor.of(jobClass.attemptNoise))
            .toList();
    this.keyWindows = new KeyWindows(time);
    for (int i = 0; i < scenario.workers; i++) {
      add(scenario.workerTypeOf(i), i % scenario.zones.size(), 0);
    }
  }

  /** Adds a worker whose process started at {@code startedAt}, 0 if it started long ago. */
  EmulatedWorker add(int workerType, int zone, double startedAt) {
    int number = all.size();
    WorkerTypeSpec spec = scenario.kinds.get(workerType);
    EmulatedWorker[] self = new EmulatedWorker[1];
    WorkerModel model =
        new WorkerModel(
            time,
            spec,
            startedAt,
            scenario.fallMultiple,
            scenario.tipMs,
            streams.stream("worker-" + number),
            share -> observer.coldWorkerCrashed(time.now(), self[0], share));
    long id = streams.seed("id-" + number) >>> 1;
    EmulatedWorker worker =
        new EmulatedWorker(
            number,
            id,
            zone,
            workerType,
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

  /**
   * Offers an attempt to a worker's process. Returns false if the worker rejects it as full. {@code
   * informed} is true if the sending node knew when the process started.
   */
  public boolean offer(
      EmulatedWorker worker, Request request, boolean informed, WorkerModel.JobListener listener) {
    ClassSpec spec = scenario.workload.classes.get(request.jobClass);
    if (worker.model.cold()) {
      observer.reachedColdWorker(time.now(), worker, request, informed);
    }
    double work = request.work * attemptNoise.get(request.jobClass).draw(random);
    WorkerModel.Work attempt =
        new WorkerModel.Work(
            request.id,
            work,
            spec.slots,
            spec.priority,
            request.object,
            scenario.workload.fetch * scenario.workload.meanWork());
    if (spec.effect != Idempotency.KEYED || request.key == null) {
      return worker.model.offer(attempt, informed, listener);
    }
    String key = KeyWindows.qualifiedKey(spec.scope, worker.zone, worker.cell, request.key);
    if (!keyWindows.registerFirst(key, spec.window, outcome -> reportOutcome(listener, outcome))) {
      return true;
    }
    boolean accepted =
        worker.model.offer(
            attempt,
            informed,
            WorkerModel.notifyingOutcome(
                listener, outcome -> keyWindows.recordOutcome(key, outcome)));
    if (!accepted) {
      keyWindows.recordOutcome(key, KeyWindows.Outcome.RETURNED);
    }
    return accepted;
  }

  private static void reportOutcome(WorkerModel.JobListener listener, KeyWindows.Outcome outcome) {
    switch (outcome) {
      case DONE -> listener.done();
      case FAILED -> listener.failed();
      case RETURNED -> listener.returned();
      default -> listener.lost();
    }
  }

  /** Returns the worker at an address. */
  public EmulatedWorker byAddress(InetSocketAddress address) {
    return byAddress.get(address);
  }

  /** Returns the worker with this id. */
  public EmulatedWorker byId(long id) {
    return byId.get(id);
  }

  /** Returns all workers of the run, including removed ones, ordered by number. */
  public List<EmulatedWorker> all() {
    return Collections.unmodifiableList(all);
  }

  /** Returns the workers that are ready and whose process is up. */
  public List<EmulatedWorker> serving() {
    return all.stream()
        .filter(worker -> worker.state == WorkerState.READY && worker.model.up())
        .toList();
  }

  /** Returns the number of repeated jobs that workers have dropped. */
  public long repeatsDropped() {
    return keyWindows.dropped();
  }
}

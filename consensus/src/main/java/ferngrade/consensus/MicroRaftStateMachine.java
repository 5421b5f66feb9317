package ferngrade.consensus;

import io.microraft.statemachine.StateMachine;
import java.util.List;
import java.util.function.Consumer;

/** Applies committed entries to a {@link ReplicatedStateMachine}. A snapshot is one chunk. */
record MicroRaftStateMachine(ReplicatedStateMachine machine) implements StateMachine {
  @Override
  public Object runOperation(long index, Object operation) {
    return operation instanceof NoOpEntry ? null : machine.apply(index, operation);
  }

  @Override
  public void takeSnapshot(long index, Consumer<Object> chunks) {
    chunks.accept(machine.snapshot());
  }

  @Override
  public void installSnapshot(long index, List<Object> chunks) {
    machine.restore(index, chunks.get(0));
  }

  @Override
  public Object getNewTermOperation() {
    return new NoOpEntry();
  }
}

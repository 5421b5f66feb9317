package ferngrade.emulator;

import ferngrade.dispatch.Dispatcher.Actions;

/** Passes everything that a module asks for on, for those that change one thing. */
class ForwardingActions implements Actions {
  private final Actions to;

  ForwardingActions(Actions to) {
    this.to = to;
  }

  @Override
  public void send(String id, long worker, double timeout) {
    to.send(id, worker, timeout);
  }

  @Override
  public void refuse(String id, double retryAfter) {
    to.refuse(id, retryAfter);
  }

  @Override
  public void fail(String id) {
    to.fail(id);
  }

  @Override
  public void cancel(String id, int attempt) {
    to.cancel(id, attempt);
  }

  @Override
  public void check(long worker) {
    to.check(worker);
  }

  @Override
  public void tell(int peer, byte[] message) {
    to.tell(peer, message);
  }

  @Override
  public void timer(double after, long token) {
    to.timer(after, token);
  }

  @Override
  public void watch() {
    to.watch();
  }

  @Override
  public void log(String line) {
    to.log(line);
  }
}

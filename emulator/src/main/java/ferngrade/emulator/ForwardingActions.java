package ferngrade.emulator;

import ferngrade.dispatch.Dispatcher.Actions;

/**
 * Forwards all actions of a dispatcher; subclasses override the methods whose behaviour they
 * change.
 */
class ForwardingActions implements Actions {
  private final Actions delegate;

  ForwardingActions(Actions delegate) {
    this.delegate = delegate;
  }

  @Override
  public void send(String id, long worker, double timeout) {
    delegate.send(id, worker, timeout);
  }

  @Override
  public void refuse(String id, double retryAfter) {
    delegate.refuse(id, retryAfter);
  }

  @Override
  public void fail(String id) {
    delegate.fail(id);
  }

  @Override
  public void cancel(String id, int attempt) {
    delegate.cancel(id, attempt);
  }

  @Override
  public void check(long worker) {
    delegate.check(worker);
  }

  @Override
  public void tell(int peer, byte[] message) {
    delegate.tell(peer, message);
  }

  @Override
  public void timer(double after, long token) {
    delegate.timer(after, token);
  }

  @Override
  public void watch() {
    delegate.watch();
  }

  @Override
  public void log(String line) {
    delegate.log(line);
  }
}

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
  public void send(String id, long worker, double timeoutMs) {
    delegate.send(id, worker, timeoutMs);
  }

  @Override
  public void reject(String id, double retryAfterMs) {
    delegate.reject(id, retryAfterMs);
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
  public void checkHealth(long worker) {
    delegate.checkHealth(worker);
  }

  @Override
  public void sendToPeer(int peer, byte[] message) {
    delegate.sendToPeer(peer, message);
  }

  @Override
  public void scheduleTimer(double delayMs, long token) {
    delegate.scheduleTimer(delayMs, token);
  }

  @Override
  public void watchEndpoints() {
    delegate.watchEndpoints();
  }

  @Override
  public void log(String line) {
    delegate.log(line);
  }
}

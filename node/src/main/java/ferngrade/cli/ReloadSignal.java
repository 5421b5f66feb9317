package ferngrade.cli;

import java.lang.reflect.InvocationTargetException;
import java.lang.reflect.Method;
import java.lang.reflect.Proxy;
import java.util.concurrent.Semaphore;

/**
 * Handles SIGHUP, which requests a reload of the configuration. Without a handler, the JVM exits on
 * SIGHUP as on SIGTERM. Signals that arrive during a reload cause a single further reload.
 */
final class ReloadSignal {
  private final Semaphore pending = new Semaphore(0);

  /**
   * Installs the signal handler. The JDK's only API for that is {@code sun.misc.Signal}, called by
   * reflection because a direct reference causes a compiler warning that cannot be suppressed.
   */
  static ReloadSignal install() {
    ReloadSignal reloadSignal = new ReloadSignal();
    try {
      Class<?> signal = Class.forName("sun.misc.Signal");
      Class<?> handler = Class.forName("sun.misc.SignalHandler");
      Object handlerProxy =
          Proxy.newProxyInstance(
              ReloadSignal.class.getClassLoader(),
              new Class<?>[] {handler},
              (proxy, method, arguments) ->
                  reloadSignal.handleInvocation(proxy, method, arguments));
      signal
          .getMethod("handle", signal, handler)
          .invoke(null, signal.getConstructor(String.class).newInstance("HUP"), handlerProxy);
    } catch (InvocationTargetException unsupported) {
      // The operating system does not have the signal, or the JVM runs without signal handling, so
      // no signal can arrive.
      return reloadSignal;
    } catch (ReflectiveOperationException missing) {
      throw new IllegalStateException("this JVM does not support sun.misc.Signal", missing);
    }
    return reloadSignal;
  }

  private Object handleInvocation(Object proxy, Method method, Object[] arguments) {
    switch (method.getName()) {
      case "handle" -> pending.release();
      case "equals" -> {
        return proxy == arguments[0];
      }
      case "hashCode" -> {
        return System.identityHashCode(proxy);
      }
      default -> {
        return "Hangup";
      }
    }
    return null;
  }

  /** Blocks until at least one signal has arrived since the last return. */
  void await() throws InterruptedException {
    pending.acquire();
    pending.drainPermits();
  }
}

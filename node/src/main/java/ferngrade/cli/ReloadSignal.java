package ferngrade.cli;

import java.lang.reflect.InvocationTargetException;
import java.lang.reflect.Method;
import java.lang.reflect.Proxy;
import java.util.concurrent.Semaphore;

/**
 * SIGHUP, which asks for the configuration to be read anew. Left alone, the runtime ends on it as
 * on SIGTERM. Signals that come while an earlier one is being answered count as one.
 */
final class ReloadSignal {
  private final Semaphore pending = new Semaphore(0);

  /**
   * Catches the signal from here on. The runtime's only way to do so is {@code sun.misc.Signal},
   * whose use by name is a warning that no compiler option takes back; hence the detour.
   */
  static ReloadSignal caught() {
    ReloadSignal hangup = new ReloadSignal();
    try {
      Class<?> signal = Class.forName("sun.misc.Signal");
      Class<?> handler = Class.forName("sun.misc.SignalHandler");
      Object releasing =
          Proxy.newProxyInstance(
              ReloadSignal.class.getClassLoader(),
              new Class<?>[] {handler},
              (proxy, method, arguments) -> hangup.called(proxy, method, arguments));
      signal
          .getMethod("handle", signal, handler)
          .invoke(null, signal.getConstructor(String.class).newInstance("HUP"), releasing);
    } catch (InvocationTargetException refused) {
      // A system without the signal, or a runtime configured to leave signals alone: there is
      // nothing to
      // catch.
      return hangup;
    } catch (ReflectiveOperationException missing) {
      throw new IllegalStateException("this runtime cannot catch signals", missing);
    }
    return hangup;
  }

  private Object called(Object proxy, Method method, Object[] arguments) {
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

  /** Returns once the signal has come, however often, since the last return. */
  void await() throws InterruptedException {
    pending.acquire();
    pending.drainPermits();
  }
}

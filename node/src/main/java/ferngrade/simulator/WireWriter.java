package ferngrade.simulator;

import ferngrade.dispatch.Dispatcher.Actions;
import java.io.IOException;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.Base64;

/** Buffers the actions of all instances in one batch; {@link #flush} writes them as one reply. */
final class WireWriter {
  private final OutputStream out;
  private byte[] buffer = new byte[1 << 16];
  private int length;
  private InstanceActions current;

  WireWriter(OutputStream out) {
    this.out = out;
  }

  void flush() throws IOException {
    put("NEXT\n");
    out.write(buffer, 0, length);
    out.flush();
    length = 0;
    current = null;
  }

  /** Writes the actions of one instance as lines after a CONTEXT line with its name. */
  final class InstanceActions implements Actions {
    private final String name;

    InstanceActions(String name) {
      this.name = name;
    }

    @Override
    public void send(String id, long worker, double timeout) {
      begin("ISSUE ").put(id).space().put(worker).space().millis(timeout).line();
    }

    @Override
    public void reject(String id, double retryAfter) {
      begin("PUSH_BACK ").put(id);
      if (retryAfter > 0) {
        space().millis(retryAfter);
      }
      line();
    }

    @Override
    public void fail(String id) {
      begin("FAIL ").put(id).line();
    }

    @Override
    public void cancel(String id, int attempt) {
      begin("REVOKE ").put(id).space().put(attempt).line();
    }

    @Override
    public void checkHealth(long worker) {
      begin("SOUND_OUT ").put(worker).line();
    }

    @Override
    public void sendToPeer(int peer, byte[] message) {
      String body = message.length == 0 ? "-" : Base64.getEncoder().encodeToString(message);
      begin("SIGNAL ").put(peer).space().put(body).line();
    }

    @Override
    public void scheduleTimer(double delayMs, long token) {
      begin("WAKE_AT ").millis(delayMs).space().put(token).line();
    }

    @Override
    public void watchEndpoints() {
      begin("FOLLOW 1").line();
    }

    @Override
    public void log(String text) {
      begin("RECORD ").put(text.replace('\n', ' ').replace('\r', ' ')).line();
    }

    void reportCrash(String text) {
      begin("BAIL_OUT ").put(text.replace('\n', ' ').replace('\r', ' ')).line();
    }

    private WireWriter begin(String action) {
      if (current != this) {
        current = this;
        put("CONTEXT ").put(name).line();
      }
      return put(action);
    }
  }

  private WireWriter put(String text) {
    int size = text.length();
    ensureCapacity(size * 3);
    for (int i = 0; i < size; i++) {
      char c = text.charAt(i);
      if (c >= 0x80) {
        return putUtf8(text.substring(i));
      }
      buffer[length++] = (byte) c;
    }
    return this;
  }

  private WireWriter putUtf8(String text) {
    byte[] bytes = text.getBytes(StandardCharsets.UTF_8);
    ensureCapacity(bytes.length);
    System.arraycopy(bytes, 0, buffer, length, bytes.length);
    length += bytes.length;
    return this;
  }

  private WireWriter put(long value) {
    if (value < 0) {
      return put(Long.toString(value));
    }
    ensureCapacity(20);
    int digits = 1;
    for (long rest = value; rest >= 10; rest /= 10) {
      digits++;
    }
    long rest = value;
    for (int i = length + digits - 1; i >= length; i--) {
      buffer[i] = (byte) ('0' + rest % 10);
      rest /= 10;
    }
    length += digits;
    return this;
  }

  /** Appends a time in ms with three decimals, as the simulator's resolution is 1 microsecond. */
  private WireWriter millis(double value) {
    long micros = Math.round(value * 1000);
    if (micros < 0) {
      return put(Double.toString(value));
    }
    put(micros / 1000);
    long rest = micros % 1000;
    ensureCapacity(4);
    buffer[length++] = '.';
    buffer[length++] = (byte) ('0' + rest / 100);
    buffer[length++] = (byte) ('0' + rest / 10 % 10);
    buffer[length++] = (byte) ('0' + rest % 10);
    return this;
  }

  private WireWriter space() {
    return put(" ");
  }

  private void line() {
    put("\n");
  }

  private void ensureCapacity(int additional) {
    if (buffer.length - length < additional) {
      buffer = Arrays.copyOf(buffer, Math.max(buffer.length * 2, length + additional));
    }
  }
}

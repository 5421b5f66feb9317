package ferngrade.faulttest;

import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.BufferedWriter;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;

/** The events of a trial, timed by the harness's single clock. Thread-safe. */
public final class History {
  private final long origin = System.nanoTime();
  private final List<Event> events = new ArrayList<>();

  /** An event, {@code at} ms after the start of the trial. */
  public record Event(double at, String who, String what, Map<String, String> details) {
    /** Returns a detail, empty if there is none of this name. */
    public String detail(String name) {
      return details.getOrDefault(name, "");
    }
  }

  /** Returns the time since the start of the trial, in ms. */
  public double now() {
    return (System.nanoTime() - origin) / 1e6;
  }

  /** Adds an event at the current time. */
  public synchronized void add(String who, String what, Map<String, String> details) {
    events.add(new Event(now(), who, what, details));
    notifyAll();
  }

  /** Returns all events so far, in order. */
  public synchronized List<Event> events() {
    return List.copyOf(events);
  }

  /** Waits until an event is added, for at most {@code millis} ms. */
  synchronized void await(double millis) throws InterruptedException {
    int countBefore = events.size();
    long remaining = Math.max(1, (long) millis);
    double end = now() + remaining;
    while (events.size() == countBefore && remaining > 0) {
      wait(remaining);
      remaining = (long) Math.ceil(end - now());
    }
  }

  /** Writes one JSON object per line. */
  public void write(Path file) throws IOException {
    ObjectMapper mapper = new ObjectMapper();
    try (BufferedWriter out = Files.newBufferedWriter(file)) {
      for (Event event : events()) {
        out.write(mapper.writeValueAsString(event));
        out.write('\n');
      }
    }
  }
}

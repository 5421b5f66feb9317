package ferngrade.faulttest;

import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.BufferedWriter;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;

/** Who did what when, by the harness's one clock. Any thread may add to it. */
public final class History {
  private final long origin = System.nanoTime();
  private final List<Event> events = new ArrayList<>();

  /** Something that happened, {@code at} ms from the start of the trial. */
  public record Event(double at, String who, String what, Map<String, String> details) {
    /** A detail, empty if there is none of this name. */
    public String detail(String name) {
      return details.getOrDefault(name, "");
    }
  }

  /** The time now, ms. */
  public double now() {
    return (System.nanoTime() - origin) / 1e6;
  }

  /** Adds what happens now. */
  public synchronized void add(String who, String what, Map<String, String> details) {
    events.add(new Event(now(), who, what, details));
    notifyAll();
  }

  /** All so far, in their order. */
  public synchronized List<Event> events() {
    return List.copyOf(events);
  }

  /** Waits until something is added, for so many ms at the most. */
  synchronized void await(double millis) throws InterruptedException {
    int known = events.size();
    long left = Math.max(1, (long) millis);
    double end = now() + left;
    while (events.size() == known && left > 0) {
      wait(left);
      left = (long) Math.ceil(end - now());
    }
  }

  /** Writes one JSON object a line. */
  public void write(Path file) throws IOException {
    ObjectMapper mapper = new ObjectMapper();
    try (BufferedWriter out = Files.newBufferedWriter(file)) {
      for (Event each : events()) {
        out.write(mapper.writeValueAsString(each));
        out.write('\n');
      }
    }
  }
}

package ferngrade.dispatch;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * What one dispatcher keeps note of: data only, every decision over it is {@link
 * ThrottlingDispatcher}'s.
 */
final class Notes {
  private Notes() {}

  /** What is learned of one worker. */
  static final class Node {
    final long id;
    Worker entry;
    Group group;
    boolean told;
    double held;
    boolean proven;
    double wait;
    double waitAt = Double.NEGATIVE_INFINITY;
    double slowness = 1;
    int outcomes;
    double holdUntil = Double.NEGATIVE_INFINITY;
    double ejectedUntil = Double.NEGATIVE_INFINITY;
    double ejection;

    /**
     * Until when, by class, it gets no jobs of a class that it did not take, and for how long next
     * time.
     */
    final double[] shunnedUntil;

    final double[] shunning;
    double heardAt = Double.NEGATIVE_INFINITY;

    /** The jobs that it holds for each core, from all dispatchers, as the list told last. */
    double load;

    /** Slots sent to it lately, fading, as of {@code recentAt}: what the list cannot show yet. */
    double recent;

    double recentAt;

    /** Slots that began here since the last cycle, and a second. */
    double starts;

    double startRate;
    final ObjectAffinity objects = new ObjectAffinity();

    Node(Worker entry, int classes) {
      this.shunnedUntil = new double[classes];
      this.shunning = new double[classes];
      this.id = entry.id();
      this.entry = entry;
    }
  }

  /** What is learned of one zone. */
  static final class Zone {
    double trip = Double.MAX_VALUE;
    double lastHeard = Double.NEGATIVE_INFINITY;
    double firstUnheard;
    int unheard;
    int unreachable;
    double nextTrial;
    final Map<Integer, Group> groups = new HashMap<>();
  }

  /** What is learned of the workers of one kind in one zone. */
  static final class Group {
    double wait;
    double slowness = 1;
    boolean known;

    /** Slots of a worker of this kind, as reports tell; 1 where none does. */
    double slots = 1;

    /** The weight of a worker of this kind that holds nothing: its size. */
    double size;
  }

  /** One sending of a request to a worker. */
  static final class Attempt {
    final Node node;
    final double sentAt;
    double startedAt = Double.NaN;
    boolean late;
    AttemptOutcome outcome;

    Attempt(Node node, double sentAt) {
      this.node = node;
      this.sentAt = sentAt;
    }

    boolean running() {
      return outcome == null && !Double.isNaN(startedAt);
    }
  }

  /** One client request and its attempts. */
  static final class Request {
    final Job job;
    final JobClass jobClass;
    final List<Attempt> attempts = new ArrayList<>(2);
    int out;
    boolean over;

    Request(Job job, JobClass jobClass) {
      this.job = job;
      this.jobClass = jobClass;
    }
  }

  /** What a peer last told, and in which cycle. */
  static final class Peer {
    int at;
    final double slice;
    final double over;
    final double[] demands;

    Peer(double slice, double over, double[] demands) {
      this.slice = slice;
      this.over = over;
      this.demands = demands;
    }
  }

  /** One tenant's part of the slice. */
  static final class Share {
    final double weight;
    double asked;
    double demand;
    double level = Double.POSITIVE_INFINITY;
    double saved;
    double savedAt;

    Share(double weight) {
      this.weight = weight;
    }
  }
}

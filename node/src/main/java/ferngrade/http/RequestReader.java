package ferngrade.http;

import ferngrade.dispatch.DispatcherSettings;
import ferngrade.dispatch.Idempotency;
import ferngrade.dispatch.Job;
import ferngrade.dispatch.JobClass;
import ferngrade.dispatch.Tenant;
import ferngrade.node.JobRequest;
import io.netty.buffer.ByteBufUtil;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.cookie.Cookie;
import io.netty.handler.codec.http.cookie.ServerCookieDecoder;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.regex.Pattern;

/** Validates clients' requests and converts them to jobs. */
public final class RequestReader {
  /** The maximum length of a job id, which also becomes part of the path of a DELETE. */
  private static final int MAX_ID_LENGTH = 128;

  private static final Pattern PLAIN_ID = Pattern.compile("[A-Za-z0-9._:~-]+");

  /**
   * Paths and keys that can be forwarded unchanged; other characters would reach the worker
   * altered.
   */
  private static final Pattern PATH = Pattern.compile("/[!-~]*");

  private static final Pattern KEY = Pattern.compile("[!-~]{1,256}");

  /**
   * The number format of the protocol; the parser of the JDK would also accept names, hexadecimals
   * and suffixes.
   */
  private static final Pattern NUMBER = Pattern.compile("[0-9]{1,18}(\\.[0-9]{1,18})?");

  /**
   * The maximum number of slots, or amount of memory, of a job: an extreme value would outweigh all
   * other jobs in the dispatcher's sums.
   */
  private static final double MAX_SLOTS = 1024;

  /** The cookie that names the object of a request. */
  private static final String OBJECT_COOKIE = "obj";

  private final DispatcherSettings settings;
  private final Map<String, Integer> classes;
  private final Map<String, Integer> tenants;

  public RequestReader(DispatcherSettings settings) {
    this.settings = settings;
    this.classes = indexes(settings.classes().stream().map(JobClass::name).toList());
    this.tenants = indexes(settings.tenants().stream().map(Tenant::name).toList());
  }

  private static Map<String, Integer> indexes(List<String> names) {
    Map<String, Integer> indexes = new HashMap<>();
    for (String name : names) {
      indexes.put(name, indexes.size());
    }
    return indexes;
  }

  Job job(HttpRequest request, double now) throws BadRequestException {
    HttpHeaders headers = request.headers();
    if (!PATH.matcher(request.uri()).matches()) {
      throw new BadRequestException("the path is not plain");
    }
    String id = singleValue(headers, Headers.ID);
    if (id == null || id.length() > MAX_ID_LENGTH || !PLAIN_ID.matcher(id).matches()) {
      throw new BadRequestException(Headers.ID + " is missing or not a plain word");
    }
    int jobClass = index(classes, headers, Headers.KIND);
    String key = singleValue(headers, Headers.IDEMPOTENCY_KEY);
    boolean keyed = settings.classes().get(jobClass).idempotency() == Idempotency.KEYED;
    // Without a key, workers could not detect a repeated job; the dispatcher relies on this
    // detection.
    if (key == null ? keyed : !KEY.matcher(key).matches()) {
      throw new BadRequestException(Headers.IDEMPOTENCY_KEY + " is missing or not plain");
    }
    int tenant = tenants.isEmpty() ? 0 : index(tenants, headers, Headers.OWNER);
    String deadlineText = singleValue(headers, Headers.DEADLINE);
    // No client waits longer than the deadline of its job class; an extreme value must not occupy a
    // table entry for days.
    double maxDeadline = settings.classes().get(jobClass).deadlineMs();
    double deadline =
        deadlineText == null ? maxDeadline : Math.min(maxDeadline, deadline(deadlineText));
    String costText = singleValue(headers, Headers.COST);
    double work =
        costText == null ? 0 : Math.min(maxDeadline, amount(Headers.COST, costText) / 1000);
    Map<String, Double> extras = extras(singleValue(headers, Headers.EXTRA));
    return new Job(
        id,
        jobClass,
        tenant,
        now + deadline,
        work,
        extras.getOrDefault("slots", 1.0),
        extras.getOrDefault("memory", 0.0),
        objectHash(headers.get(HttpHeaderNames.COOKIE)));
  }

  static JobRequest jobRequest(FullHttpRequest request, String id) {
    return new JobRequest(
        id,
        request.method().name(),
        request.uri(),
        request.headers().get(Headers.IDEMPOTENCY_KEY),
        ByteBufUtil.getBytes(request.content()));
  }

  /**
   * Returns the value of a header, or null if it is absent. A repeated header is rejected, because
   * it is unknown which value a worker would use.
   */
  private static String singleValue(HttpHeaders headers, String header) throws BadRequestException {
    List<String> values = headers.getAll(header);
    if (values.size() > 1) {
      throw new BadRequestException(header + " comes more than once");
    }
    return values.isEmpty() ? null : values.get(0);
  }

  private static int index(Map<String, Integer> names, HttpHeaders headers, String header)
      throws BadRequestException {
    Integer index = names.get(String.valueOf(singleValue(headers, header)));
    if (index == null) {
      throw new BadRequestException(header + " is missing or unknown");
    }
    return index;
  }

  /**
   * Returns the hash of the object that a cookie names, or 0 if there is no such cookie or the
   * cookies cannot be parsed.
   */
  private static long objectHash(String cookies) {
    if (cookies != null) {
      for (Cookie cookie : ServerCookieDecoder.LAX.decode(cookies)) {
        if (cookie.name().equals(OBJECT_COOKIE)) {
          return cookie.value().hashCode();
        }
      }
    }
    return 0;
  }

  /**
   * Parses a duration, a number followed by {@code m} for milliseconds or {@code u} for
   * microseconds, to ms.
   */
  private static double deadline(String text) throws BadRequestException {
    String number = text.isEmpty() ? "" : text.substring(0, text.length() - 1);
    double amount = amount(Headers.DEADLINE, number);
    return switch (text.charAt(text.length() - 1)) {
      case 'm' -> amount;
      case 'u' -> amount / 1000;
      default -> throw new BadRequestException(Headers.DEADLINE + " has no unit m or u");
    };
  }

  private static double amount(String header, String text) throws BadRequestException {
    if (!NUMBER.matcher(text).matches()) {
      throw new BadRequestException(header + " is not a number of 0 or more");
    }
    return Double.parseDouble(text);
  }

  private static Map<String, Double> extras(String text) throws BadRequestException {
    Map<String, Double> extras = new HashMap<>();
    if (text != null && !text.isBlank()) {
      for (String pair : text.split(",", 0)) {
        int equals = pair.indexOf('=');
        String name = pair.substring(0, Math.max(0, equals)).strip();
        if (name.equals("slots") || name.equals("memory")) {
          double amount = amount(Headers.EXTRA, pair.substring(equals + 1).strip());
          if (amount > MAX_SLOTS) {
            throw new BadRequestException(Headers.EXTRA + " asks for too much");
          }
          extras.put(name, amount);
        }
      }
    }
    return extras;
  }
}

package ferngrade.simulator;

import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;

/**
 * Reads the wire's lines and their space-separated fields, byte by byte and without a string for
 * each.
 */
final class WireReader {
  private static final double[] POWERS = {1, 1e1, 1e2, 1e3, 1e4, 1e5, 1e6, 1e7, 1e8, 1e9};

  private final InputStream in;
  private byte[] buffer = new byte[1 << 16];
  private int from;
  private int filled;
  private int pos;
  private int end;
  private int fieldStart;
  private int fieldEnd;
  private long line;
  private String message = "";

  WireReader(InputStream in) {
    this.in = in;
  }

  /** Moves to the next line and its first field; false at the end of the input. */
  boolean nextLine() throws IOException {
    int scan = from;
    while (true) {
      while (scan < filled && buffer[scan] != '\n') {
        scan++;
      }
      if (scan < filled || !fill()) {
        break;
      }
      scan -= shifted;
    }
    if (scan == from && scan == filled) {
      return false;
    }
    pos = from;
    end = scan > from && buffer[scan - 1] == '\r' ? scan - 1 : scan;
    from = Math.min(scan + 1, filled);
    line++;
    message = "";
    if (skip("message")) {
      message = field();
    }
    return true;
  }

  private int shifted;

  private boolean fill() throws IOException {
    shifted = 0;
    if (filled == buffer.length) {
      if (from > 0) {
        System.arraycopy(buffer, from, buffer, 0, filled - from);
        shifted = from;
        filled -= from;
        from = 0;
      } else {
        buffer = java.util.Arrays.copyOf(buffer, buffer.length * 2);
      }
    }
    int got = in.read(buffer, filled, buffer.length - filled);
    if (got <= 0) {
      return false;
    }
    filled += got;
    return true;
  }

  /** The first field of the line: which message it is; empty for an empty line. */
  String message() {
    return message;
  }

  /** The next field as text; null if it is absent. */
  String text() {
    return skip("") ? field() : null;
  }

  String text(String field) {
    String value = text();
    if (value == null) {
      throw wrong(field, "is missing");
    }
    return value;
  }

  /** The next field as a number, {@code absent} if it is left out. */
  double number(String field, double absent) {
    return skip(field) ? parse(field) : absent;
  }

  double number(String field) {
    if (!skip(field)) {
      throw wrong(field, "is missing");
    }
    return parse(field);
  }

  /** The next field as a whole number, {@code absent} if it is left out. */
  long whole(String field, long absent) {
    return skip(field) ? parseWhole(field) : absent;
  }

  long whole(String field) {
    if (!skip(field)) {
      throw wrong(field, "is missing");
    }
    return parseWhole(field);
  }

  int index(String field) {
    long value = whole(field);
    if (value < 0 || value > Integer.MAX_VALUE) {
      throw wrong(field, "is out of range: " + value);
    }
    return (int) value;
  }

  boolean flag(String field) {
    long value = whole(field, 0);
    if (value != 0 && value != 1) {
      throw wrong(field, "is neither 0 nor 1: " + value);
    }
    return value == 1;
  }

  WireException wrong(String field, String what) {
    return new WireException("line " + line + ": " + message + "." + field + " " + what);
  }

  WireException wrong(String what) {
    return new WireException("line " + line + ": " + what);
  }

  private boolean skip(String field) {
    if (pos >= end) {
      return false;
    }
    fieldStart = pos;
    while (pos < end && buffer[pos] != ' ') {
      pos++;
    }
    fieldEnd = pos;
    pos++;
    if (fieldEnd == fieldStart) {
      throw wrong(field, "is empty: two spaces in a row");
    }
    return !(fieldEnd - fieldStart == 1 && buffer[fieldStart] == '-');
  }

  private long parseWhole(String field) {
    long value = 0;
    boolean negative = buffer[fieldStart] == '-';
    int i = negative ? fieldStart + 1 : fieldStart;
    if (i == fieldEnd || fieldEnd - i > 19) {
      throw wrong(field, "is not a whole number: " + field());
    }
    for (; i < fieldEnd; i++) {
      int digit = buffer[i] - '0';
      if (digit < 0 || digit > 9) {
        throw wrong(field, "is not a whole number: " + field());
      }
      value = value * 10 + digit;
    }
    return negative ? -value : value;
  }

  private double parse(String field) {
    long digits = 0;
    int i = fieldStart;
    int point = -1;
    boolean negative = buffer[i] == '-';
    if (negative) {
      i++;
    }
    boolean plain = fieldEnd - i <= 18 && i < fieldEnd;
    for (; plain && i < fieldEnd; i++) {
      byte b = buffer[i];
      if (b >= '0' && b <= '9') {
        digits = digits * 10 + b - '0';
      } else if (b == '.' && point < 0) {
        point = i;
      } else {
        plain = false;
      }
    }
    int decimals = point < 0 ? 0 : fieldEnd - point - 1;
    if (plain && decimals < POWERS.length && digits < 1L << 53) {
      double value = digits / POWERS[decimals];
      return negative ? -value : value;
    }
    return slowly(field);
  }

  private double slowly(String field) {
    try {
      double value = Double.parseDouble(field());
      if (Double.isNaN(value) || Double.isInfinite(value)) {
        throw wrong(field, "is not a finite number: " + field());
      }
      return value;
    } catch (NumberFormatException notANumber) {
      throw wrong(field, "is not a number: " + field());
    }
  }

  private String field() {
    return new String(buffer, fieldStart, fieldEnd - fieldStart, StandardCharsets.UTF_8);
  }
}

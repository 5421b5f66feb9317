package ferngrade.simulator;

import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;

/**
 * Parses the protocol's lines and their space-separated fields. Numbers are parsed from the bytes
 * without creating a string for each field.
 */
final class WireReader {
  private static final double[] POWERS_OF_TEN = {1, 1e1, 1e2, 1e3, 1e4, 1e5, 1e6, 1e7, 1e8, 1e9};

  private final InputStream in;
  private byte[] buffer = new byte[1 << 16];
  private int nextLineStart;
  private int limit;
  private int position;
  private int lineEnd;
  private int fieldStart;
  private int fieldEnd;
  private long line;
  private String message = "";

  WireReader(InputStream in) {
    this.in = in;
  }

  /** Advances to the next line and reads its first field; returns false at the end of the input. */
  boolean nextLine() throws IOException {
    int scan = nextLineStart;
    while (true) {
      while (scan < limit && buffer[scan] != '\n') {
        scan++;
      }
      if (scan < limit || !fill()) {
        break;
      }
      scan -= shift;
    }
    if (scan == nextLineStart && scan == limit) {
      return false;
    }
    position = nextLineStart;
    lineEnd = scan > nextLineStart && buffer[scan - 1] == '\r' ? scan - 1 : scan;
    nextLineStart = Math.min(scan + 1, limit);
    line++;
    message = "";
    if (nextField("message")) {
      message = fieldText();
    }
    return true;
  }

  private int shift;

  private boolean fill() throws IOException {
    shift = 0;
    if (limit == buffer.length) {
      if (nextLineStart > 0) {
        System.arraycopy(buffer, nextLineStart, buffer, 0, limit - nextLineStart);
        shift = nextLineStart;
        limit -= nextLineStart;
        nextLineStart = 0;
      } else {
        buffer = java.util.Arrays.copyOf(buffer, buffer.length * 2);
      }
    }
    int count = in.read(buffer, limit, buffer.length - limit);
    if (count <= 0) {
      return false;
    }
    limit += count;
    return true;
  }

  /** Returns the first field of the line, the name of the message; empty for an empty line. */
  String message() {
    return message;
  }

  /** Returns the next field as text; null if it is absent or {@code -}. */
  String text() {
    return nextField("") ? fieldText() : null;
  }

  String text(String field) {
    String value = text();
    if (value == null) {
      throw malformed(field, "is missing");
    }
    return value;
  }

  /** Returns the next field as a number; {@code defaultValue} if it is absent or {@code -}. */
  double number(String field, double defaultValue) {
    return nextField(field) ? parse(field) : defaultValue;
  }

  double number(String field) {
    if (!nextField(field)) {
      throw malformed(field, "is missing");
    }
    return parse(field);
  }

  /** Returns the next field as an integer; {@code defaultValue} if it is absent or {@code -}. */
  long integer(String field, long defaultValue) {
    return nextField(field) ? parseInteger(field) : defaultValue;
  }

  long integer(String field) {
    if (!nextField(field)) {
      throw malformed(field, "is missing");
    }
    return parseInteger(field);
  }

  int nonNegativeInt(String field) {
    long value = integer(field);
    if (value < 0 || value > Integer.MAX_VALUE) {
      throw malformed(field, "is out of range: " + value);
    }
    return (int) value;
  }

  boolean flag(String field) {
    long value = integer(field, 0);
    if (value != 0 && value != 1) {
      throw malformed(field, "is neither 0 nor 1: " + value);
    }
    return value == 1;
  }

  WireException malformed(String field, String problem) {
    return new WireException("line " + line + ": " + message + "." + field + " " + problem);
  }

  WireException malformed(String problem) {
    return new WireException("line " + line + ": " + problem);
  }

  private boolean nextField(String field) {
    if (position >= lineEnd) {
      return false;
    }
    fieldStart = position;
    while (position < lineEnd && buffer[position] != ' ') {
      position++;
    }
    fieldEnd = position;
    position++;
    if (fieldEnd == fieldStart) {
      throw malformed(field, "is empty: two spaces in a row");
    }
    return !(fieldEnd - fieldStart == 1 && buffer[fieldStart] == '-');
  }

  private long parseInteger(String field) {
    long value = 0;
    boolean negative = buffer[fieldStart] == '-';
    int i = negative ? fieldStart + 1 : fieldStart;
    if (i == fieldEnd || fieldEnd - i > 19) {
      throw malformed(field, "is not a whole number: " + fieldText());
    }
    for (; i < fieldEnd; i++) {
      int digit = buffer[i] - '0';
      if (digit < 0 || digit > 9) {
        throw malformed(field, "is not a whole number: " + fieldText());
      }
      value = value * 10 + digit;
    }
    return negative ? -value : value;
  }

  private double parse(String field) {
    long digits = 0;
    int i = fieldStart;
    int decimalPoint = -1;
    boolean negative = buffer[i] == '-';
    if (negative) {
      i++;
    }
    boolean plain = fieldEnd - i <= 18 && i < fieldEnd;
    for (; plain && i < fieldEnd; i++) {
      byte b = buffer[i];
      if (b >= '0' && b <= '9') {
        digits = digits * 10 + b - '0';
      } else if (b == '.' && decimalPoint < 0) {
        decimalPoint = i;
      } else {
        plain = false;
      }
    }
    int decimals = decimalPoint < 0 ? 0 : fieldEnd - decimalPoint - 1;
    if (plain && decimals < POWERS_OF_TEN.length && digits < 1L << 53) {
      double value = digits / POWERS_OF_TEN[decimals];
      return negative ? -value : value;
    }
    return parseWithLibrary(field);
  }

  private double parseWithLibrary(String field) {
    try {
      double value = Double.parseDouble(fieldText());
      if (Double.isNaN(value) || Double.isInfinite(value)) {
        throw malformed(field, "is not a finite number: " + fieldText());
      }
      return value;
    } catch (NumberFormatException notANumber) {
      throw malformed(field, "is not a number: " + fieldText());
    }
  }

  private String fieldText() {
    return new String(buffer, fieldStart, fieldEnd - fieldStart, StandardCharsets.UTF_8);
  }
}

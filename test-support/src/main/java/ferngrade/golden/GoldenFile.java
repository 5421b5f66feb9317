package ferngrade.golden;

import java.io.IOException;
import java.io.InputStream;
import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.HexFormat;
import java.util.Map;
import java.util.TreeMap;

/**
 * Holds recorded values, one per line as {@code name value}, from a test resource of the module
 * under test. A test compares them with the values that the current code produces, so that a
 * refactoring that changes a stored or transmitted format fails.
 *
 * <p>If the system property {@value #RECORD_PROPERTY} names this file, the values are written to
 * the module's {@code src/test/resources/golden} instead of being compared. Not thread-safe.
 */
public final class GoldenFile {
  /** The system property that names the golden file to record. */
  public static final String RECORD_PROPERTY = "golden.record";

  private static final String RESOURCE_FOLDER = "golden";
  private static final Path SOURCE_FOLDER = Path.of("src", "test", "resources", RESOURCE_FOLDER);

  private final String fileName;
  private final boolean recording;
  private final Map<String, String> values = new TreeMap<>();

  private GoldenFile(String fileName) {
    this.fileName = fileName;
    this.recording = fileName.equals(System.getProperty(RECORD_PROPERTY));
  }

  /**
   * Opens the golden file of this name. Throws IllegalStateException if the file does not exist and
   * is not being recorded.
   */
  public static GoldenFile open(String fileName) {
    GoldenFile file = new GoldenFile(fileName);
    if (!file.recording) {
      file.load();
    }
    return file;
  }

  private void load() {
    try (InputStream in =
        GoldenFile.class.getResourceAsStream("/" + RESOURCE_FOLDER + "/" + fileName)) {
      if (in == null) {
        throw new IllegalStateException("missing golden file " + fileName);
      }
      for (String line : new String(in.readAllBytes(), StandardCharsets.UTF_8).split("\n", 0)) {
        int space = line.indexOf(' ');
        values.put(line.substring(0, space), line.substring(space + 1));
      }
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }

  /** Compares a text without line breaks with the recorded one, or records it. */
  public void verify(String name, String actual) {
    if (recording) {
      values.put(name, actual);
      save();
      return;
    }
    String expected = values.get(name);
    if (!actual.equals(expected)) {
      throw new AssertionError(
          fileName + ", " + name + ": expected " + expected + " but was " + actual);
    }
  }

  /** Compares bytes with the recorded ones, or records them. */
  public void verify(String name, byte[] actual) {
    verify(name, HexFormat.of().formatHex(actual));
  }

  /**
   * Compares a text of several lines, line by line, or records it. Differences in line breaks
   * count.
   */
  public void verifyLines(String name, String actual) {
    verify(name, actual.replace("\\", "\\\\").replace("\r", "\\r").replace("\n", "\\n"));
  }

  /** Returns the recorded bytes of this name. */
  public byte[] bytes(String name) {
    String hex = values.get(name);
    if (hex == null) {
      throw new AssertionError(fileName + " has no value " + name);
    }
    return HexFormat.of().parseHex(hex);
  }

  private void save() {
    StringBuilder text = new StringBuilder();
    values.forEach((name, value) -> text.append(name).append(' ').append(value).append('\n'));
    try {
      Files.createDirectories(SOURCE_FOLDER);
      Files.writeString(SOURCE_FOLDER.resolve(fileName), text);
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }
}

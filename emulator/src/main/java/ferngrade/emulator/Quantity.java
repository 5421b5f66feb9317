package ferngrade.emulator;

import java.lang.annotation.ElementType;
import java.lang.annotation.Retention;
import java.lang.annotation.RetentionPolicy;
import java.lang.annotation.Target;

/**
 * What a figure of a scenario measures, so that whoever reads one from a file can ask for its unit
 * and its range.
 */
@Retention(RetentionPolicy.RUNTIME)
@Target(ElementType.FIELD)
public @interface Quantity {
  /** The measure; a figure without this note is a number of 0 or more. */
  Measure value();

  /** Measures. */
  enum Measure {
    /** Milliseconds in the program, a number and a unit in a file. */
    TIME,
    /** Per second. */
    RATE,
    /** From 0 to 1. */
    SHARE,
    /** Above 0. */
    POSITIVE
  }
}

package ferngrade.emulator;

import java.lang.annotation.ElementType;
import java.lang.annotation.Retention;
import java.lang.annotation.RetentionPolicy;
import java.lang.annotation.Target;

/**
 * Declares the quantity that a scenario's field measures. Readers of scenario files use it to check
 * the unit and the range of a value.
 */
@Retention(RetentionPolicy.RUNTIME)
@Target(ElementType.FIELD)
public @interface Quantity {
  /** The measure; the value of a field without this annotation is a number of 0 or more. */
  Measure value();

  /** The measure of a quantity. */
  enum Measure {
    /** A time, in ms in the program and as a number with a unit in a file. */
    TIME,
    /** A rate per second. */
    RATE,
    /** A share from 0 to 1. */
    SHARE,
    /** A number above 0. */
    POSITIVE
  }
}

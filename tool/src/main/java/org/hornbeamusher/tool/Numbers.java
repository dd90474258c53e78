package org.hornbeamusher.tool;

import org.hornbeamusher.failure.FailureType;
import org.hornbeamusher.failure.HornbeamusherException;

/** Reads numbers from the command line. */
final class Numbers {

  private Numbers() {}

  static long parse(String option, String text) {
    try {
      long number = Long.parseLong(text);
      if (number >= 0) {
        return number;
      }
    } catch (NumberFormatException e) {
      throw wrong(option).causedBy(e);
    }
    throw wrong(option);
  }

  private static HornbeamusherException wrong(String option) {
    return HornbeamusherException.notRun(
        FailureType.USAGE, "--" + option + " must be a whole number from 0");
  }
}

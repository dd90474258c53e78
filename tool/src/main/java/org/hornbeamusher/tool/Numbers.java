package org.hornbeamusher.tool;

import org.hornbeamusher.failure.FailureType;
import org.hornbeamusher.failure.HornbeamusherException;

/** Parses numeric options of the command line. */
final class Numbers {

  private Numbers() {}

  static long parse(String option, String text) {
    try {
      long number = Long.parseLong(text);
      if (number >= 0) {
        return number;
      }
    } catch (NumberFormatException e) {
      throw invalid(option).causedBy(e);
    }
    throw invalid(option);
  }

  private static HornbeamusherException invalid(String option) {
    return HornbeamusherException.notRun(
        FailureType.USAGE, "--" + option + " must be a whole number from 0");
  }
}

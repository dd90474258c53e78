package org.hornbeamusher.failure;

/**
 * What a failure promises about the request it ended.
 *
 * <p>Each constant is its own type, so that a switch over outcomes is checked by the compiler.
 */
public sealed interface Outcome {

  /**
   * The form callers see.
   *
   * @return {@code not-run}, {@code ran} or {@code unknown}
   */
  String label();

  /**
   * Reads the form callers see.
   *
   * @param label as {@link #label} gives it
   * @return the outcome; unknown for any other text, which promises nothing
   */
  static Outcome ofLabel(String label) {
    return switch (label) {
      case "not-run" -> NOT_RUN;
      case "ran" -> RAN;
      default -> UNKNOWN;
    };
  }

  /** No endpoint started the request, and none will. Said only where it is proven. */
  record NotRun() implements Outcome {
    @Override
    public String label() {
      return "not-run";
    }
  }

  /** An endpoint ran the request to its end. */
  record Ran() implements Outcome {
    @Override
    public String label() {
      return "ran";
    }
  }

  /** An endpoint may have started the request. */
  record Unknown() implements Outcome {
    @Override
    public String label() {
      return "unknown";
    }
  }

  /** The request was not run. */
  Outcome NOT_RUN = new NotRun();

  /** The request ran. */
  Outcome RAN = new Ran();

  /** It is not known whether the request ran. */
  Outcome UNKNOWN = new Unknown();
}

package org.hornbeamusher.failure;

/**
 * The guarantee that a failure gives about the request that it ended.
 *
 * <p>Each outcome is its own type, so that the compiler checks a switch over outcomes for
 * completeness.
 */
public sealed interface Outcome {

  /**
   * Returns the label that callers receive.
   *
   * @return {@code not-run}, {@code ran} or {@code unknown}
   */
  String label();

  /**
   * Parses the label that callers receive.
   *
   * @param label as {@link #label} gives it
   * @return the outcome; unknown, which guarantees nothing, for any other text
   */
  static Outcome ofLabel(String label) {
    return switch (label) {
      case "not-run" -> NOT_RUN;
      case "ran" -> RAN;
      default -> UNKNOWN;
    };
  }

  /** No endpoint started the request, and none will. Reported only when this is proven. */
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

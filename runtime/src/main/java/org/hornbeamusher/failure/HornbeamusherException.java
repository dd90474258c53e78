package org.hornbeamusher.failure;

import java.util.Arrays;
import java.util.List;
import java.util.OptionalLong;
import java.util.concurrent.CompletionException;

/** A failure of a known type; the only exception that crosses package boundaries. */
public final class HornbeamusherException extends RuntimeException {

  private static final long serialVersionUID = 1L;

  private static final int MAX_ARGUMENTS = 4;

  private final FailureType type;
  private final transient Outcome outcome;
  private final transient List<Object> arguments;
  private final long retryAfterMillis;

  private HornbeamusherException(
      FailureType type, Outcome outcome, long retryAfterMillis, Throwable cause, Object... args) {
    super(message(type, args), cause);
    this.type = type;
    this.outcome = outcome;
    this.retryAfterMillis = retryAfterMillis;
    this.arguments = Arrays.asList(args);
  }

  /**
   * Pads the arguments: a failure received from another process may have fewer arguments than its
   * template needs.
   */
  private static String message(FailureType type, Object... args) {
    Object[] padded = Arrays.copyOf(args, args.length + MAX_ARGUMENTS);
    Arrays.fill(padded, args.length, padded.length, "?");
    return String.format(type.template(), padded);
  }

  /**
   * Creates a failure of a request that was certainly not run.
   *
   * @param type the type
   * @param arguments fill the type's template
   * @return the failure
   */
  public static HornbeamusherException notRun(FailureType type, Object... arguments) {
    return new HornbeamusherException(type, Outcome.NOT_RUN, -1, null, arguments);
  }

  /**
   * Creates a failure with any outcome.
   *
   * @param type the type
   * @param outcome what is known about the request
   * @param arguments fill the type's template
   * @return the failure
   */
  public static HornbeamusherException of(FailureType type, Outcome outcome, Object... arguments) {
    return new HornbeamusherException(type, outcome, -1, null, arguments);
  }

  /**
   * Returns this failure with a delay after which the caller may retry.
   *
   * @param millis the delay from now, in milliseconds
   * @return a copy
   */
  public HornbeamusherException retryAfter(long millis) {
    return new HornbeamusherException(type, outcome, millis, getCause(), arguments.toArray());
  }

  /**
   * Returns this failure with its cause.
   *
   * @param cause the exception that caused it
   * @return a copy
   */
  public HornbeamusherException causedBy(Throwable cause) {
    return new HornbeamusherException(type, outcome, retryAfterMillis, cause, arguments.toArray());
  }

  /**
   * Returns this failure with another outcome.
   *
   * @param other what is known about the request
   * @return a copy
   */
  public HornbeamusherException withOutcome(Outcome other) {
    return new HornbeamusherException(
        type, other, retryAfterMillis, getCause(), arguments.toArray());
  }

  /**
   * Returns the typed failure behind the exception of a failed future.
   *
   * @param thrown any throwable, possibly wrapped by a future
   * @return the typed failure; {@link FailureType#INTERNAL} with an unknown outcome when untyped
   */
  public static HornbeamusherException from(Throwable thrown) {
    Throwable current = thrown;
    while (current instanceof CompletionException && current.getCause() != null) {
      current = current.getCause();
    }
    if (current instanceof HornbeamusherException typed) {
      return typed;
    }
    return of(FailureType.INTERNAL, Outcome.UNKNOWN, current).causedBy(current);
  }

  /**
   * Returns the type.
   *
   * @return the entry in the catalogue
   */
  public FailureType type() {
    return type;
  }

  /**
   * Returns the outcome.
   *
   * @return what is known about the request
   */
  public Outcome outcome() {
    return outcome;
  }

  /**
   * Returns the delay after which the caller may retry.
   *
   * @return milliseconds from now, or empty when that is not known
   */
  public OptionalLong retryAfterMillis() {
    return retryAfterMillis < 0 ? OptionalLong.empty() : OptionalLong.of(retryAfterMillis);
  }

  /**
   * Returns the arguments of the message template.
   *
   * @return the arguments in order
   */
  public List<Object> arguments() {
    return arguments;
  }
}

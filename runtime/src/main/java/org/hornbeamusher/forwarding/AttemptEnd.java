package org.hornbeamusher.forwarding;

import org.hornbeamusher.failure.FailureType;

/** How one send to an endpoint ended. */
sealed interface AttemptEnd {

  /** Returns how logs and metrics name it. */
  default String label() {
    return switch (this) {
      case Answered answered -> "answered";
      case NotSent notSent -> "not-sent";
      case Withdrawn withdrawn -> "withdrawn";
      case NoConnection none -> "no-connection";
      case Refused refused -> "refused-" + refused.status();
      case Broken broken -> broken.cause().label();
    };
  }

  /** The answer is whole. */
  record Answered() implements AttemptEnd {}

  /** Nothing reached the endpoint. */
  record NotSent() implements AttemptEnd {}

  /** Nothing was sent, because the endpoint takes no requests any more. */
  record Withdrawn() implements AttemptEnd {}

  /** Nothing was sent, because this entry's connections to the endpoint are in use. */
  record NoConnection() implements AttemptEnd {}

  /** The endpoint says that it did not run the request. */
  record Refused(int status) implements AttemptEnd {}

  /** The request may have run, and its answer is no good. */
  record Broken(FailureType cause) implements AttemptEnd {}
}

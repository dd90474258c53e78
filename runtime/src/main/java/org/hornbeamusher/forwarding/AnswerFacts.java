package org.hornbeamusher.forwarding;

import java.util.Optional;
import org.hornbeamusher.availability.StatedRetryAfter;
import org.hornbeamusher.ids.EndpointId;
import org.hornbeamusher.ratelimit.StatedLimit;

/**
 * What the head of an endpoint's answer says.
 *
 * @param requestId the request it answers, where it says so
 * @param endpoint the endpoint that gave the answer, where it says so
 * @param signed whether the endpoint vouches for it
 * @param notRun whether the endpoint says that it did not run the request
 * @param limit the rate of requests that the endpoint takes
 * @param retryAfter for how long a refusal says that the endpoint takes no requests
 * @param leaving whether the endpoint says that it is leaving
 */
public record AnswerFacts(
    Optional<String> requestId,
    Optional<EndpointId> endpoint,
    boolean signed,
    boolean notRun,
    StatedLimit limit,
    StatedRetryAfter retryAfter,
    boolean leaving) {

  /** The facts of an answer that has not come. */
  static final AnswerFacts NONE =
      new AnswerFacts(
          Optional.empty(),
          Optional.empty(),
          false,
          false,
          new StatedLimit.None(),
          new StatedRetryAfter.None(),
          false);
}

package org.hornbeamusher.forwarding;

import java.util.Optional;
import org.hornbeamusher.availability.RetryAfter;
import org.hornbeamusher.ids.EndpointId;
import org.hornbeamusher.ratelimit.AdvertisedRateLimit;

/**
 * The metadata in the head of an endpoint's response.
 *
 * @param requestId the request that it answers, if stated
 * @param endpoint the endpoint that sent it, if stated
 * @param sealPresent whether it carries a seal; false for an encoded body, which no seal covers
 * @param notRun whether it states that the request was not run
 * @param rateLimit the request rate limit of the endpoint
 * @param retryAfter how long the endpoint accepts no requests, if it is a refusal
 * @param leaving whether the endpoint states that it is leaving
 */
public record ResponseMetadata(
    Optional<String> requestId,
    Optional<EndpointId> endpoint,
    boolean sealPresent,
    boolean notRun,
    AdvertisedRateLimit rateLimit,
    RetryAfter retryAfter,
    boolean leaving) {

  /** Stands for a response that has not arrived. */
  static final ResponseMetadata NONE =
      new ResponseMetadata(
          Optional.empty(),
          Optional.empty(),
          false,
          false,
          new AdvertisedRateLimit.None(),
          new RetryAfter.None(),
          false);
}

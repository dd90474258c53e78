package org.hornbeamusher.forwarding;

import org.hornbeamusher.availability.AvailabilityLog;
import org.hornbeamusher.availability.EndpointAvailability;
import org.hornbeamusher.clock.Clock;
import org.hornbeamusher.placement.EndpointView;

/**
 * Updates an endpoint's state from the heads of its responses: its rate limit, its back-off and
 * whether it is leaving. Confined to the event loop.
 */
final class EndpointStateUpdater {

  private final EndpointRateLimiter limits;
  private final RequestCrashes crashes;
  private final Clock clock;

  /**
   * Creates an updater.
   *
   * @param limits applies rate limits
   * @param crashes learns from responses which endpoints have not ended
   * @param clock monotonic
   */
  EndpointStateUpdater(EndpointRateLimiter limits, RequestCrashes crashes, Clock clock) {
    this.limits = limits;
    this.crashes = crashes;
    this.clock = clock;
  }

  /**
   * Records that a part of the body of a response has arrived.
   *
   * @param endpoint the endpoint that sent it
   */
  void recordData(EndpointView endpoint) {
    endpoint.received(clock.millis());
    crashes.seen(endpoint.incarnation());
  }

  /**
   * Processes the head of a response.
   *
   * @param endpoint the endpoint that sent it
   * @param metadata the metadata in its head
   * @param succeeded whether it is a success
   * @param sentMillis when the request was sent
   */
  void recordResponse(
      EndpointView endpoint, ResponseMetadata metadata, boolean succeeded, long sentMillis) {
    if (metadata.endpoint().filter(other -> !other.equals(endpoint.id())).isPresent()) {
      // Another endpoint uses this address now; its state is not that of the expected endpoint.
      crashes.incarnationEnded(endpoint.incarnation(), "replaced");
      return;
    }
    endpoint.received(clock.millis());
    crashes.responded(endpoint.incarnation(), sentMillis);
    limits.recordResponse(endpoint, metadata.rateLimit(), succeeded, sentMillis);
    EndpointAvailability availability = endpoint.availability();
    long now = clock.millis();
    if (availability.recordRetryAfter(metadata.retryAfter(), now)) {
      AvailabilityLog.backoff(
          endpoint.id(), endpoint.incarnation().startMillis(), availability.backoffMillis(now));
    }
    if (metadata.leaving() && availability.recordLeaving()) {
      AvailabilityLog.leaving(endpoint.id(), endpoint.incarnation().startMillis());
    }
  }
}

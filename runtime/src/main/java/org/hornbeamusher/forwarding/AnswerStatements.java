package org.hornbeamusher.forwarding;

import org.hornbeamusher.availability.AvailabilityLog;
import org.hornbeamusher.availability.EndpointAvailability;
import org.hornbeamusher.clock.Clock;
import org.hornbeamusher.placement.EndpointView;

/**
 * Takes what the head of an endpoint's answer states about the endpoint: the rate of requests that
 * it takes, for how long it takes none, and that it is leaving. Confined to the loop.
 */
final class AnswerStatements {

  private final EndpointLimits limits;
  private final Clock clock;

  /**
   * Creates it.
   *
   * @param limits keeps to stated rates
   * @param clock monotonic
   */
  AnswerStatements(EndpointLimits limits, Clock clock) {
    this.limits = limits;
    this.clock = clock;
  }

  /**
   * Takes the head of an answer.
   *
   * @param endpoint who answered
   * @param facts what the answer says
   * @param succeeded whether it is a success
   * @param sentMillis when its request was sent
   */
  void answered(EndpointView endpoint, AnswerFacts facts, boolean succeeded, long sentMillis) {
    if (facts.endpoint().filter(other -> !other.equals(endpoint.id())).isPresent()) {
      // Another endpoint stands at the address; what it states is not about this one.
      return;
    }
    limits.answered(endpoint, facts.limit(), succeeded, sentMillis);
    EndpointAvailability availability = endpoint.availability();
    long now = clock.millis();
    if (availability.answered(facts.retryAfter(), now)) {
      AvailabilityLog.backoff(
          endpoint.id(), endpoint.life().startMillis(), availability.backoffMillis(now));
    }
    if (facts.leaving() && availability.statedLeaving()) {
      AvailabilityLog.leaving(endpoint.id(), endpoint.life().startMillis());
    }
  }
}

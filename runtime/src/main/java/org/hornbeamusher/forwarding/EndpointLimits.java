package org.hornbeamusher.forwarding;

import java.util.OptionalDouble;
import org.hornbeamusher.clock.Clock;
import org.hornbeamusher.events.EventLog;
import org.hornbeamusher.events.EventType;
import org.hornbeamusher.placement.EndpointView;
import org.hornbeamusher.ratelimit.StatedLimit;

/** Takes the request rates that endpoints state in their answers. Confined to the loop. */
final class EndpointLimits {

  private final Clock clock;

  EndpointLimits(Clock clock) {
    this.clock = clock;
  }

  /**
   * Takes the head of an endpoint's answer.
   *
   * @param endpoint who answered
   * @param stated the limit that the answer states
   * @param succeeded whether it is a success
   * @param sentMillis when its request was sent
   */
  void answered(EndpointView endpoint, StatedLimit stated, boolean succeeded, long sentMillis) {
    OptionalDouble before = endpoint.limit().requestsPerSecond();
    if (endpoint.limit().answered(stated, succeeded, sentMillis, clock.millis())) {
      log(endpoint, before);
    }
  }

  private static void log(EndpointView endpoint, OptionalDouble before) {
    OptionalDouble now = endpoint.limit().requestsPerSecond();
    EventLog.log(
        now.isPresent() ? EventType.ENDPOINT_LIMITED : EventType.ENDPOINT_UNLIMITED,
        "endpoint",
        endpoint.id(),
        "start_ms",
        endpoint.life().startMillis(),
        "limit_per_s",
        text(now),
        "before_per_s",
        text(before));
  }

  /** Returns a limit as the log states it. */
  static String text(OptionalDouble limit) {
    return limit.isPresent() ? Double.toString(limit.getAsDouble()) : "";
  }
}

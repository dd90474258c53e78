package org.hornbeamusher.forwarding;

import org.hornbeamusher.availability.StatedRetryAfter;
import org.hornbeamusher.directory.HeldAdapter;
import org.hornbeamusher.events.EventLog;
import org.hornbeamusher.events.EventType;
import org.hornbeamusher.ids.EndpointId;
import org.hornbeamusher.placement.Placement;
import org.hornbeamusher.placement.PlacementRequest;
import org.hornbeamusher.ratelimit.StatedLimit;
import org.hornbeamusher.routes.Configuration;

/**
 * The lines that one request leaves in the log: each decision with what decided it.
 *
 * @param id the caller's; empty when its headers could not be read
 */
record RequestLog(String id) {

  /** It goes to an endpoint, at once or after a load. */
  void placed(
      String service,
      PlacementRequest request,
      Placement.At at,
      long remainingMillis,
      ForwardState state,
      long now) {
    EventLog.log(
        EventType.REQUEST_PLACED,
        "id",
        id,
        "service",
        service,
        "adapter",
        request.adapter().map(HeldAdapter::toString).orElse(""),
        "endpoint",
        at.endpoint().id(),
        "start_ms",
        at.endpoint().life().startMillis(),
        "present",
        at.present(),
        "estimate_ms",
        at.estimateMillis(),
        "stall_ms",
        at.stallMillis(),
        "place_free",
        at.placeFree(),
        "remaining_ms",
        remainingMillis,
        "running",
        at.endpoint().running(),
        "limit_per_s",
        EndpointLimits.text(at.endpoint().limit().requestsPerSecond()),
        "backoff_ms",
        at.endpoint().availability().backoffMillis(now),
        "stated_leaving",
        at.endpoint().availability().leaving(),
        "listed",
        !state.directory().missing(at.endpoint().id()),
        "configuration",
        state.configuration().current().map(Configuration::version).orElse(0L),
        "list_age_ms",
        state.directory().ageMillis(now));
  }

  /** It leaves the line of an endpoint for that of another. */
  void moved(EndpointId from, long waitedMillis) {
    EventLog.log(EventType.REQUEST_MOVED, "id", id, "from", from, "waited_ms", waitedMillis);
  }

  /** An endpoint's part in it is over. */
  void attemptEnded(Attempt attempt, String end, AnswerRelay relay, long tookMillis) {
    EventLog.log(
        EventType.ATTEMPT_ENDED,
        "id",
        id,
        "endpoint",
        attempt.endpoint().id(),
        "start_ms",
        attempt.endpoint().life().startMillis(),
        "end",
        end,
        "status",
        attempt.status(),
        "caller_status",
        relay.started() ? relay.status() : 0,
        "took_ms",
        tookMillis,
        "last_event",
        relay.lastEvent().orElse(-1),
        "stated_limit_per_s",
        text(attempt.facts().limit()),
        "stated_retry_after_ms",
        text(attempt.facts().retryAfter()),
        "stated_leaving",
        attempt.facts().leaving());
  }

  private static String text(StatedRetryAfter stated) {
    return switch (stated) {
      case StatedRetryAfter.Millis time -> Long.toString(time.millis());
      case StatedRetryAfter.None none -> "";
      case StatedRetryAfter.Unreadable unreadable -> "unreadable";
    };
  }

  private static String text(StatedLimit stated) {
    return switch (stated) {
      case StatedLimit.PerSecond limit -> Double.toString(limit.requestsPerSecond());
      case StatedLimit.None none -> "";
      case StatedLimit.Unreadable unreadable -> "unreadable";
    };
  }

  /** It has its final answer, or its caller has gone. */
  void ended(End end) {
    EventLog.log(
        EventType.REQUEST_ENDED,
        "id",
        id,
        "route",
        end.route(),
        "account",
        end.account(),
        "cause",
        end.cause(),
        "status",
        end.status(),
        "took_ms",
        end.tookMillis(),
        "first_ms",
        end.firstMillis(),
        "sends",
        end.sends(),
        "refusals",
        end.refusals());
  }

  /**
   * How a request ended.
   *
   * @param route its route's name; empty when none matched
   * @param account the client account's name; empty when there is none or it was refused
   * @param cause the failure's label, or {@code answered}
   * @param status what the caller got; 0 when its connection ended
   * @param tookMillis from its arrival
   * @param firstMillis from its arrival to the first byte of its answer; -1 for none
   * @param sends attempts that reached an endpoint
   * @param refusals of endpoints that did not run it
   */
  record End(
      String route,
      String account,
      String cause,
      int status,
      long tookMillis,
      long firstMillis,
      int sends,
      int refusals) {}
}

package org.hornbeamusher.forwarding;

import java.util.List;
import java.util.Optional;
import java.util.stream.Collectors;
import org.hornbeamusher.availability.RetryAfter;
import org.hornbeamusher.directory.AdapterVersion;
import org.hornbeamusher.events.EventLog;
import org.hornbeamusher.events.EventType;
import org.hornbeamusher.failure.FailureType;
import org.hornbeamusher.forecast.FirstEventForecast;
import org.hornbeamusher.forecast.LateRequestPolicy;
import org.hornbeamusher.forecast.ReturnPlanner;
import org.hornbeamusher.forecast.ReturnTime;
import org.hornbeamusher.ids.EndpointId;
import org.hornbeamusher.ids.SoftwareVersion;
import org.hornbeamusher.placement.EndpointView;
import org.hornbeamusher.placement.Placement;
import org.hornbeamusher.placement.PlacementRequest;
import org.hornbeamusher.placement.PromptPart;
import org.hornbeamusher.quarantine.PathContent;
import org.hornbeamusher.quarantine.RequestContent;
import org.hornbeamusher.ratelimit.AdvertisedRateLimit;
import org.hornbeamusher.routes.Configuration;

/**
 * Logs the events of one request: each decision with its inputs.
 *
 * @param id the request id of the caller; empty if the headers could not be parsed
 */
record RequestLog(String id) {

  private static final int MAX_LOGGED_PARTS = 16;

  /** Logs that the request was placed at an endpoint, to be sent at once or after a load. */
  void placed(
      String service,
      Optional<String> resumes,
      PlacementRequest request,
      Placement.Assigned at,
      FirstEventForecast forecast,
      long remainingMillis,
      ForwardContext context,
      long now) {
    EventLog.log(
        EventType.REQUEST_PLACED,
        "id",
        id,
        "service",
        service,
        "resumes",
        resumes.orElse(""),
        "adapter",
        request.adapter().map(AdapterVersion::toString).orElse(""),
        "endpoint",
        at.endpoint().id(),
        "start_ms",
        at.endpoint().incarnation().startMillis(),
        "present",
        at.canStartNow(),
        "estimate_ms",
        at.estimateMillis(),
        "expected_ms",
        forecast.expectedMillis(),
        "stall_ms",
        at.stallMillis(),
        "place_free",
        at.canLoadNow(),
        "remaining_ms",
        remainingMillis,
        "running",
        at.endpoint().running(),
        "limit_per_s",
        EndpointRateLimiter.text(at.endpoint().limit().requestsPerSecond()),
        "backoff_ms",
        at.endpoint().availability().backoffMillis(now),
        "stated_leaving",
        at.endpoint().availability().leaving(),
        "listed",
        !context.directory().missing(at.endpoint().id()),
        "configuration",
        context.configuration().current().map(Configuration::version).orElse(0L),
        "list_age_ms",
        context.directory().ageMillis(now));
  }

  /** Logs that the request is refused because of its forecast, with what decided. */
  void refusedByForecast(
      String stage,
      EndpointView endpoint,
      FirstEventForecast forecast,
      RefusalDecisions.Candidate request,
      LateRequestPolicy.Decision decision,
      long now) {
    EventLog.log(
        EventType.FORECAST_REFUSED,
        "id",
        id,
        "stage",
        stage,
        "decision",
        decision,
        "endpoint",
        endpoint.id(),
        "estimate_ms",
        forecast.estimateMillis(),
        "expected_ms",
        forecast.expectedMillis(),
        "samples",
        forecast.samples(),
        "samples_age_ms",
        forecast.ageMillis(),
        "target_left_ms",
        request.targetLeftMillis(now),
        "time_left_ms",
        request.startLeftMillis(now),
        "free_slots",
        endpoint.freeAdapterSlots(now));
  }

  /** Logs that the request is held at the entry, with the estimate of the best endpoint. */
  void held(EndpointId best, long estimateMillis, long targetLeftMillis) {
    EventLog.log(
        EventType.REQUEST_HELD,
        "id",
        id,
        "endpoint",
        best,
        "estimate_ms",
        estimateMillis,
        "target_left_ms",
        targetLeftMillis);
  }

  /** Logs when the refused caller is to return, with what decided. */
  void returnPlanned(
      FailureType cause,
      ReturnPlanner.Refused refused,
      ReturnPlanner.FreedCapacity freed,
      ReturnPlanner.Plan plan) {
    EventLog.log(
        EventType.RETURN_PLANNED,
        "id",
        id,
        "cause",
        cause.label(),
        "service",
        refused.service(),
        "capacity",
        refused.capacity(),
        "retry_after_ms",
        plan.time().millis(),
        "promised",
        plan.time() instanceof ReturnTime.Promised,
        "queue_ms",
        refused.queueMillis(),
        "run_ms",
        refused.runMillis(),
        "time_left_ms",
        refused.timeLeftMillis(),
        "service_ms",
        refused.serviceMillis(),
        "freed_per_s",
        tenths(freed.perSecond()),
        "entries",
        freed.entries(),
        "for_returns_per_s",
        tenths(plan.perSecond()),
        "promised_ms",
        plan.promisedMillis());
  }

  private static double tenths(double value) {
    return Math.round(value * 10) / 10.0;
  }

  /** Logs that the request leaves the queue of an endpoint and is placed anew. */
  void moved(EndpointId from, long waitedMillis) {
    EventLog.log(EventType.REQUEST_MOVED, "id", id, "from", from, "waited_ms", waitedMillis);
  }

  /**
   * Logs the end of an attempt.
   *
   * @param lost what identifies the request; empty unless the connection was lost
   * @param earlierRuns number of earlier sends of the request that may have run
   * @param chargeAgeMillis how long before the send its quota charge was made
   */
  void attemptEnded(
      Attempt attempt,
      AttemptOutcome outcome,
      Optional<LostRequest> lost,
      int earlierRuns,
      long chargeAgeMillis,
      ResponseRelay relay,
      long now) {
    EventLog.log(
        EventType.ATTEMPT_ENDED,
        "id",
        id,
        "endpoint",
        attempt.endpoint().id(),
        "address",
        attempt.endpoint().endpoint().address(),
        "start_ms",
        attempt.endpoint().incarnation().startMillis(),
        "software",
        attempt.endpoint().endpoint().software().map(SoftwareVersion::value).orElse("unknown"),
        "end",
        outcome.label(),
        "content",
        lost.map(request -> request.content().toString()).orElse(""),
        "path_content",
        lost.map(request -> request.pathContent().toString()).orElse(""),
        "parts",
        lost.map(request -> text(request.parts())).orElse(""),
        "status",
        attempt.status(),
        "answered_id",
        answeredId(attempt),
        "connection",
        attempt.connection().number(),
        "earlier_requests",
        attempt.connection().earlierRequests(),
        "skipped_responses",
        attempt.skippedResponses(),
        "connection_age_ms",
        attempt.connection().ageMillis(),
        "connection_wait_ms",
        attempt.connectionWaitMillis(),
        "ended_by_peer",
        attempt.endedByPeer(),
        "left",
        outcome instanceof AttemptOutcome.Left left ? left.reason().label() : "",
        "malformed",
        outcome instanceof AttemptOutcome.Malformed malformed ? malformed.fault().text() : "",
        "endpoint_silent_ms",
        attempt.endpoint().silentMillis(now),
        "earlier_runs",
        earlierRuns,
        "charge_age_ms",
        chargeAgeMillis,
        "caller_status",
        relay.started() ? relay.status() : 0,
        "took_ms",
        now - attempt.sentMillis(),
        "first_data_ms",
        attempt.firstDataAfterMillis(),
        "longest_pause_ms",
        attempt.longestPauseMillis(),
        "reading_pauses",
        attempt.pauses(),
        "last_event",
        relay.lastEvent().orElse(-1),
        "stated_limit_per_s",
        text(attempt.metadata().rateLimit()),
        "stated_retry_after_ms",
        text(attempt.metadata().retryAfter()),
        "stated_leaving",
        attempt.metadata().leaving());
  }

  /** Returns which request the response names. */
  private String answeredId(Attempt attempt) {
    if (attempt.status() == 0) {
      return "";
    }
    return attempt
        .metadata()
        .requestId()
        .map(named -> named.equals(id) ? "own" : "other")
        .orElse("none");
  }

  /** Logs the decision of the retry budget about a further send, with what it was based on. */
  void retryDecided(
      String service, boolean granted, SharedRetryBudget.State state, AgentConnections agents) {
    EventLog.log(
        EventType.RETRY_DECIDED,
        "id",
        id,
        "service",
        service,
        "granted",
        granted,
        "recent_requests",
        state.recentRequests(),
        "saved",
        Math.round(state.saved() * 100) / 100.0,
        "unsent",
        state.unsent(),
        "entries",
        agents.entries(),
        "entries_reported",
        agents.knownEntries().isPresent(),
        "age_ms",
        state.ageMillis());
  }

  private static String text(List<PromptPart> parts) {
    return parts.stream()
        .limit(MAX_LOGGED_PARTS)
        .map(PromptPart::id)
        .collect(Collectors.joining(","));
  }

  private static String text(RetryAfter stated) {
    return switch (stated) {
      case RetryAfter.Millis time -> Long.toString(time.millis());
      case RetryAfter.None none -> "";
      case RetryAfter.Unreadable unreadable -> "unreadable";
    };
  }

  private static String text(AdvertisedRateLimit stated) {
    return switch (stated) {
      case AdvertisedRateLimit.PerSecond limit -> Double.toString(limit.requestsPerSecond());
      case AdvertisedRateLimit.None none -> "";
      case AdvertisedRateLimit.Unreadable unreadable -> "unreadable";
    };
  }

  /** Logs the end of the request: its final response was sent or its caller disconnected. */
  void ended(Summary end) {
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
   * What identifies a request, or a part of it, when it is sent again.
   *
   * @param content the whole request
   * @param pathContent its path, client account and body
   * @param parts the parts of its prompt in order
   */
  record LostRequest(RequestContent content, PathContent pathContent, List<PromptPart> parts) {

    /** Copies the list. */
    LostRequest {
      parts = List.copyOf(parts);
    }
  }

  /**
   * How a request ended.
   *
   * @param route name of the route; empty if none matched
   * @param account name of the client account; empty if there is none or it was refused
   * @param cause the failure's label, or {@code answered}
   * @param status the status sent to the caller; 0 if its connection ended
   * @param tookMillis time since its arrival
   * @param firstMillis time from its arrival to the first byte of the response; -1 if none
   * @param sends number of attempts that reached an endpoint
   * @param refusals number of refusals by endpoints, which did not run it
   */
  record Summary(
      String route,
      String account,
      String cause,
      int status,
      long tookMillis,
      long firstMillis,
      int sends,
      int refusals) {}
}

package org.hornbeamusher.forwarding;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.concurrent.ThreadLocalRandom;
import java.util.function.Predicate;
import org.hornbeamusher.clock.Clock;
import org.hornbeamusher.events.EventLog;
import org.hornbeamusher.events.EventType;
import org.hornbeamusher.failure.FailureType;
import org.hornbeamusher.failure.HornbeamusherException;
import org.hornbeamusher.ids.EndpointIncarnation;
import org.hornbeamusher.loop.EventLoop;
import org.hornbeamusher.placement.EndpointView;
import org.hornbeamusher.quarantine.CrashHistory;
import org.hornbeamusher.quarantine.CrashRecord;
import org.hornbeamusher.quarantine.CrashSuspect;
import org.hornbeamusher.quarantine.PathQuarantine;
import org.hornbeamusher.quarantine.PromptPartId;
import org.hornbeamusher.quarantine.PromptPartQuarantine;

/**
 * Finds out which requests ran at endpoints that crashed, and refuses those of a quarantined
 * content, with a quarantined path and body, or with a quarantined part of the prompt.
 *
 * <p>A lost connection does not show that the endpoint crashed: endpoints reset connections and
 * break off responses while they serve other requests. So the requests whose connections to an
 * incarnation were lost wait for a verdict:
 *
 * <ul>
 *   <li>the incarnation has ended, if its agent or the list says so, if another endpoint responds
 *       at its address, or if a health check finds the port closed. Its crash is recorded for each
 *       of them;
 *   <li>it has not, if it responds to a request that was sent after the loss, or to the health
 *       check. Nothing is recorded;
 *   <li>without either within a time limit nothing is recorded.
 * </ul>
 *
 * <p>The end of an endpoint counts only for requests after whose send it is known to have run, see
 * {@link LostRequest}; without that the loss counts for nothing, before the verdict and after it.
 *
 * <p>Until the verdict the loss counts at this entry as if the endpoint had crashed, so that a
 * retry of the same request does not reach another endpoint in the meantime. It does not count for
 * what other requests share, the path and parts of the prompt: they would be refused wherever
 * connections are reset.
 *
 * <p>An entry may end before the verdict. Its losses are then reported by agents to the others,
 * which learn from the list or from agents whether the endpoint has ended.
 *
 * <p>A request whose caller left or whose deadline passed shortly before the end of its endpoint
 * may have run there, so it counts as well.
 *
 * <p>An endpoint that has stated that it is leaving may end connections for that reason, so nothing
 * is recorded for it.
 */
final class RequestCrashes {

  private static final long VERDICT_TIMEOUT_MILLIS = 10_000;
  private static final long EXPECTED_VERDICT_MILLIS = 1_000;

  /** Responses to other requests usually arrive within this time and make the check needless. */
  private static final long FIRST_CHECK_MILLIS = 100;

  /** A process that crashes may close its port after its connections. */
  private static final long CHECK_INTERVAL_MILLIS = 300;

  private static final int MAX_CHECKS = 4;

  /** What shows that an incarnation has ended: an agent or the list reports the next one. */
  private static final String RESTARTED = "restarted";

  private static final long LOG_INTERVAL_MILLIS = 1_000;

  /** An endpoint stops a cancelled request within half a second; its end is noticed a bit later. */
  private static final long CANCELLED_MILLIS = 1_000;

  private static final int MAX_CANCELLED = 1_000;

  /** Smaller changes of an estimate are ignored, as times by two of them compare less exactly. */
  private static final long OFFSET_TOLERANCE_MILLIS = 10;

  private final CrashHistory history;
  private final PromptPartQuarantine partQuarantine;
  private final PathQuarantine pathQuarantine;
  private final CrashReports reports;
  private final EndpointCheck check;
  private final ForwardMetrics metrics;
  private final EventLoop loop;
  private final Clock clock;
  private final Clock serviceClock;

  /** Distinguishes the estimates of the service clock by which different processes take times. */
  private final int processNumber = ThreadLocalRandom.current().nextInt();

  /** The last estimate that differed by more than the tolerance from the one before. */
  private long offsetMillis;

  private final Predicate<EndpointIncarnation> isListed;
  private final Map<EndpointIncarnation, EndpointLosses> losses = new HashMap<>();
  private final RelayedLosses relayed = new RelayedLosses(VERDICT_TIMEOUT_MILLIS);

  private final EndpointLiveness liveness = new EndpointLiveness(VERDICT_TIMEOUT_MILLIS);

  /** When the next request that does not count for the end of its endpoint is logged. */
  private long nextUncountedLogMillis;

  /** Number of those that were not logged. */
  private int uncountedUnlogged;

  /** When the next request with an explained suspect is logged. */
  private long nextSuspectLogMillis;

  /** The requests that were cancelled recently, the oldest first. */
  private final Deque<LostRequest> cancelled = new ArrayDeque<>();

  /**
   * Creates an instance for an entry that has sent nothing yet.
   *
   * @param history the known crashes
   * @param reports shares them with other entries
   * @param check checks whether an endpoint still runs
   * @param isListed tells whether an incarnation may still be in the list of endpoints
   * @param metrics the metrics
   * @param loop the event loop
   * @param clock monotonic
   * @param serviceClock by which records of several processes are compared
   */
  RequestCrashes(
      CrashHistory history,
      CrashReports reports,
      EndpointCheck check,
      Predicate<EndpointIncarnation> isListed,
      ForwardMetrics metrics,
      EventLoop loop,
      Clock clock,
      Clock serviceClock) {
    this.history = history;
    this.partQuarantine = new PromptPartQuarantine(history.crashLimit(), history::openCrashes);
    this.pathQuarantine = new PathQuarantine(history::openCrashes);
    this.reports = reports;
    this.check = check;
    this.isListed = isListed;
    this.metrics = metrics;
    this.loop = loop;
    this.clock = clock;
    this.serviceClock = serviceClock;
    reports.setLossListener(this::lossRelayed);
  }

  /**
   * Decides whether a request is refused because endpoints crashed under others like it.
   *
   * @param id the id of the request
   * @param request what it has in common with others
   * @return empty if it may be sent
   */
  Optional<HornbeamusherException> refusal(String id, RequestSuspects request) {
    Optional<CrashSuspect> refused = refusedSuspect(request);
    if (refused.isEmpty() && !history.quarantined().isEmpty()) {
      logExplainedSuspect(id, request);
    }
    return refused.map(suspect -> refuse(id, suspect));
  }

  /** Logs at most once a second that a request is sent although a part of it is quarantined. */
  private void logExplainedSuspect(String id, RequestSuspects request) {
    long now = clock.millis();
    if (now < nextSuspectLogMillis) {
      return;
    }
    request.parts().stream()
        .filter(history.quarantined()::contains)
        .findFirst()
        .ifPresent(
            part -> {
              nextSuspectLogMillis = now + LOG_INTERVAL_MILLIS;
              EventLog.log(EventType.EXPLAINED_SUSPECT_SENT, "id", id, "content", part);
            });
  }

  private HornbeamusherException refuse(String id, CrashSuspect suspect) {
    int confirmed = history.independentCrashes(suspect);
    int unconfirmed = unconfirmed(suspect).size();
    metrics.crashingRequestRefused();
    EventLog.log(
        EventType.QUARANTINED_REQUEST_REFUSED,
        "id",
        id,
        "content",
        suspect,
        "crashes",
        confirmed,
        "unconfirmed",
        unconfirmed);
    return HornbeamusherException.notRun(FailureType.CRASHES_ENDPOINTS)
        .retryAfter(
            confirmed < history.crashLimit()
                ? EXPECTED_VERDICT_MILLIS
                : history.remainingMillis(suspect, clock.millis()));
  }

  /** Returns whether a request is refused because endpoints crashed under others like it. */
  boolean isRefused(RequestSuspects request) {
    return refusedSuspect(request).isPresent();
  }

  private Optional<CrashSuspect> refusedSuspect(RequestSuspects request) {
    if (mayBeQuarantined(request.bodyBytes())) {
      if (history.isQuarantined(request.content(), unconfirmed(request.content()))) {
        return Optional.of(request.content());
      }
      if (pathQuarantine.refuses(request.pathContent(), history.quarantined())) {
        return Optional.of(request.pathContent());
      }
    }
    return history.hasOpenParts()
        ? partQuarantine.refusedPart(request.parts(), history.quarantined()).map(part -> part)
        : Optional.empty();
  }

  private boolean mayBeQuarantined(int bodyBytes) {
    return history.mayContain(bodyBytes)
        || losses.values().stream().anyMatch(each -> each.mayContain(bodyBytes));
  }

  private List<CrashRecord.Crash> unconfirmed(CrashSuspect suspect) {
    List<CrashRecord.Crash> crashes = new ArrayList<>();
    for (EndpointLosses each : losses.values()) {
      each.request(suspect).flatMap(lost -> crash(suspect, lost)).ifPresent(crashes::add);
    }
    return crashes;
  }

  private Optional<CrashRecord.Crash> crash(CrashSuspect suspect, LostRequest lost) {
    long offset = serviceOffsetMillis();
    return withLastSeen(lost)
        .withTimesShiftedBy(offset)
        .crash(suspect, clock.millis() + offset, Objects.hash(processNumber, offset));
  }

  private LostRequest withLastSeen(LostRequest lost) {
    return lost.withLastSeen(liveness.lastSeenMillis(lost.endpoint()));
  }

  /** Returns the time of the service clock at the zero of the monotonic clock. */
  private long serviceOffsetMillis() {
    long estimatedMillis = serviceClock.millis() - clock.millis();
    if (Math.abs(estimatedMillis - offsetMillis) > OFFSET_TOLERANCE_MILLIS) {
      offsetMillis = estimatedMillis;
    }
    return offsetMillis;
  }

  /** Called when a request lost its connection to an endpoint. */
  void connectionLost(EndpointView endpoint, RequestSuspects request, AttemptEvidence attempt) {
    EndpointIncarnation incarnation = endpoint.incarnation();
    if (endpoint.leaving()) {
      return;
    }
    long now = clock.millis();
    LostRequest lost = lostRequest(incarnation, request, attempt);
    Optional<EndpointLiveness.End> end = liveness.end(incarnation, now);
    if (end.isPresent()) {
      // With the next incarnation running, an attempt that was still open was at that one.
      if (!end.get().successorRuns() || attempt.endedByPeer()) {
        record(List.of(lost));
      } else {
        logUncounted(lost);
      }
      return;
    }
    EndpointLosses known = losses.get(incarnation);
    if (known == null) {
      known = new EndpointLosses(endpoint, now);
      losses.put(incarnation, known);
      checkLater(known, FIRST_CHECK_MILLIS);
    }
    known.add(lost);
    LostRequest withLastSeen = withLastSeen(lost);
    if (withLastSeen.mayBeCause()) {
      reports.connectionLost(withLastSeen.withTimesShiftedBy(serviceOffsetMillis()));
    }
  }

  private LostRequest lostRequest(
      EndpointIncarnation incarnation, RequestSuspects request, AttemptEvidence attempt) {
    return new LostRequest(
        incarnation,
        LostRequest.suspects(request, attempt.answered()),
        attempt.sentMillis(),
        attempt.endedByPeer() ? attempt.sentMillis() : EndpointLiveness.NEVER,
        clock.millis(),
        false);
  }

  /** Handles a loss whose cause another entry did not find out before it ended. */
  private void lossRelayed(LostRequest relayedLoss) {
    LostRequest lost = relayedLoss.withTimesShiftedBy(-serviceOffsetMillis());
    EndpointIncarnation incarnation = lost.endpoint();
    boolean crashed =
        liveness.end(incarnation, clock.millis()).isPresent() || !isListed.test(incarnation);
    EventLog.log(
        EventType.CONNECTION_LOSS_RELAYED,
        "endpoint",
        incarnation.id(),
        "start_ms",
        incarnation.startMillis(),
        "suspects",
        lost.suspects().size(),
        "counted",
        lost.mayBeCause(),
        "crashed",
        crashed);
    if (!lost.mayBeCause()) {
      return;
    }
    if (crashed) {
      record(List.of(lost));
    } else {
      relayed.add(lost, clock.millis());
    }
  }

  /** Called when a request at an endpoint is cancelled; the endpoint may still run it. */
  void cancelled(EndpointView endpoint, RequestSuspects request, AttemptEvidence attempt) {
    if (!endpoint.leaving()) {
      removeOldCancelled();
      cancelled.add(lostRequest(endpoint.incarnation(), request, attempt));
    }
  }

  private void removeOldCancelled() {
    long oldest = clock.millis() - CANCELLED_MILLIS;
    while (!cancelled.isEmpty()
        && (cancelled.peek().lostMillis() < oldest || cancelled.size() >= MAX_CANCELLED)) {
      cancelled.remove();
    }
  }

  /** Called when an endpoint has completed a request. */
  void completed(RequestSuspects request, AttemptResponse response) {
    if (history.mayContain(request.bodyBytes())) {
      completed(request.content(), response);
      completed(request.pathContent(), response);
    }
  }

  private void completed(CrashSuspect suspect, AttemptResponse response) {
    boolean quarantined = history.isQuarantined(suspect, 0);
    long now = clock.millis();
    Optional<CrashRecord> cleared =
        response.showsSurvival()
            ? history.clear(suspect, now)
            : history.recordFailedResponse(suspect, now);
    cleared.ifPresent(record -> cleared(record, quarantined, response));
  }

  /** Called when an endpoint has answered a request for a while, or completely. */
  void answered(RequestSuspects request, AttemptResponse response) {
    long now = clock.millis();
    for (PromptPartId part : request.parts()) {
      boolean quarantined = history.isQuarantined(part, 0);
      history
          .recordSurvival(part, now)
          .ifPresent(cleared -> cleared(cleared, quarantined, response));
    }
  }

  private void cleared(CrashRecord record, boolean quarantinedBefore, AttemptResponse response) {
    EventLog.log(
        EventType.CRASHES_CLEARED,
        "id",
        response.requestId(),
        "content",
        record.suspect(),
        "crashes",
        record.crashes().size(),
        "endpoint",
        response.endpoint(),
        "status",
        response.status());
    reports.logChange(record, quarantinedBefore, "completed");
    reports.changed(record);
  }

  /** Called when an endpoint has responded to a request. */
  void responded(EndpointIncarnation incarnation, long sentMillis) {
    seen(incarnation);
    EndpointLosses known = losses.get(incarnation);
    if (known != null && sentMillis > known.lastMillis()) {
      alive(known, "responded");
    }
    relayed.responded(incarnation, sentMillis);
  }

  /** Returns whether it is undecided if an incarnation ended under lost requests. */
  boolean hasLosses(EndpointIncarnation incarnation) {
    return losses.keySet().stream().anyMatch(incarnation::maybeSameAs);
  }

  /** Called when data of a response or an agent shows that an incarnation runs. */
  void seen(EndpointIncarnation incarnation) {
    liveness.seen(incarnation, clock.millis());
  }

  /** Called when an incarnation of an endpoint has ended. */
  void incarnationEnded(EndpointIncarnation incarnation, String evidence) {
    long now = clock.millis();
    liveness.ended(incarnation, evidence.equals(RESTARTED), now);
    removeOldCancelled();
    cancelled.stream()
        .filter(each -> each.endpoint().maybeSameAs(incarnation))
        .forEach(each -> record(List.of(each)));
    relayed.removeAt(incarnation).forEach(each -> record(List.of(each)));
    List<EndpointLosses> affected =
        losses.values().stream()
            .filter(each -> each.incarnation().maybeSameAs(incarnation))
            .toList();
    for (EndpointLosses each : affected) {
      losses.remove(each.incarnation());
      long lastSeen = liveness.lastSeenMillis(each.incarnation());
      EventLog.log(
          EventType.ENDPOINT_CRASHED,
          "endpoint",
          each.incarnation().id(),
          "start_ms",
          each.incarnation().startMillis(),
          "evidence",
          evidence,
          "requests",
          each.contents(),
          "counted",
          each.countedContents(lastSeen),
          "last_seen_ms",
          ageMillis(lastSeen),
          "after_ms",
          now - each.firstMillis());
      each.requests().forEach(this::record);
    }
  }

  /** Returns how long ago an endpoint was last seen; -1 if it never was. */
  private long ageMillis(long lastSeenMillis) {
    return lastSeenMillis == EndpointLiveness.NEVER ? -1 : clock.millis() - lastSeenMillis;
  }

  private void record(List<LostRequest> requests) {
    for (LostRequest lost : requests) {
      if (!withLastSeen(lost).mayBeCause()) {
        logUncounted(lost);
        continue;
      }
      lost.suspects().forEach(suspect -> record(suspect, lost));
    }
  }

  private void record(CrashSuspect suspect, LostRequest lost) {
    crash(suspect, lost).ifPresent(crash -> record(suspect, crash));
  }

  private void record(CrashSuspect suspect, CrashRecord.Crash crash) {
    boolean quarantined = history.isQuarantined(suspect, 0);
    history
        .recordCrash(suspect, crash, clock.millis())
        .ifPresent(
            changed -> {
              metrics.crashRecorded();
              reports.logChange(changed, quarantined, "own");
              reports.changed(changed);
            });
  }

  /** Logs at most once a second that an end does not count for a request. */
  private void logUncounted(LostRequest lost) {
    long now = clock.millis();
    uncountedUnlogged++;
    if (now < nextUncountedLogMillis) {
      return;
    }
    nextUncountedLogMillis = now + LOG_INTERVAL_MILLIS;
    EventLog.log(
        EventType.CRASH_NOT_COUNTED,
        "endpoint",
        lost.endpoint().id(),
        "start_ms",
        lost.endpoint().startMillis(),
        "sent_ms",
        now - lost.sentMillis(),
        "last_seen_ms",
        ageMillis(liveness.lastSeenMillis(lost.endpoint())),
        "requests",
        uncountedUnlogged);
    uncountedUnlogged = 0;
  }

  private void alive(EndpointLosses known, String evidence) {
    losses.remove(known.incarnation());
    EventLog.log(
        EventType.ENDPOINT_ALIVE,
        "endpoint",
        known.incarnation().id(),
        "evidence",
        evidence,
        "requests",
        known.contents(),
        "after_ms",
        clock.millis() - known.firstMillis());
  }

  private void checkLater(EndpointLosses known, long delayMillis) {
    loop.after(delayMillis, () -> check(known));
  }

  private void check(EndpointLosses known) {
    if (losses.get(known.incarnation()) != known) {
      return;
    }
    long age = clock.millis() - known.firstMillis();
    if (known.checks() >= MAX_CHECKS) {
      loop.after(
          Math.max(0, VERDICT_TIMEOUT_MILLIS - age),
          () -> losses.remove(known.incarnation(), known));
      return;
    }
    known.checkSent();
    check.check(known.endpoint()).thenAccept(result -> loop.execute(() -> checked(known, result)));
  }

  private void checked(EndpointLosses known, EndpointCheck.Result result) {
    if (losses.get(known.incarnation()) != known) {
      return;
    }
    switch (result) {
      case ALIVE -> alive(known, "health-check");
      case ENDED -> incarnationEnded(known.incarnation(), "health-check");
      default -> checkLater(known, CHECK_INTERVAL_MILLIS);
    }
  }
}

package org.hornbeamusher.forwarding;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
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
import org.hornbeamusher.quarantine.PromptPartId;
import org.hornbeamusher.quarantine.PromptPartQuarantine;
import org.hornbeamusher.quarantine.RequestContent;

/**
 * Finds out which requests ran at endpoints that crashed, and refuses those of a quarantined
 * content or with a quarantined part of the prompt.
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
 * <p>Until the verdict the loss counts at this entry as if the endpoint had crashed, so that a
 * retry of the same request does not reach another endpoint in the meantime. It does not count for
 * parts of the prompt: other requests with them would be refused wherever connections are reset.
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

  private static final long SUSPECT_LOG_INTERVAL_MILLIS = 1_000;

  /** An endpoint stops a cancelled request within half a second; its end is noticed a bit later. */
  private static final long CANCELLED_MILLIS = 1_000;

  private static final int MAX_CANCELLED = 1_000;

  /** Agents and the list may report an end before this entry notices the lost connections. */
  private static final int MAX_ENDED = 256;

  private final CrashHistory history;
  private final PromptPartQuarantine partQuarantine;
  private final CrashReports reports;
  private final EndpointCheck check;
  private final ForwardMetrics metrics;
  private final EventLoop loop;
  private final Clock clock;
  private final Predicate<EndpointIncarnation> isListed;
  private final Map<EndpointIncarnation, Losses> losses = new HashMap<>();
  private final RelayedLosses relayed = new RelayedLosses(VERDICT_TIMEOUT_MILLIS);

  /** When the next request with an explained suspect is logged. */
  private long nextSuspectLogMillis;

  /** The requests that were cancelled recently, the oldest first. */
  private final Deque<Cancelled> cancelled = new ArrayDeque<>();

  /** Incarnations that have ended, and when. */
  private final Map<EndpointIncarnation, Long> ended =
      new LinkedHashMap<>() {
        private static final long serialVersionUID = 1L;

        @Override
        protected boolean removeEldestEntry(Map.Entry<EndpointIncarnation, Long> eldest) {
          return size() > MAX_ENDED;
        }
      };

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
   */
  RequestCrashes(
      CrashHistory history,
      CrashReports reports,
      EndpointCheck check,
      Predicate<EndpointIncarnation> isListed,
      ForwardMetrics metrics,
      EventLoop loop,
      Clock clock) {
    this.history = history;
    this.partQuarantine = new PromptPartQuarantine(history.crashLimit(), history::openCrashes);
    this.reports = reports;
    this.check = check;
    this.isListed = isListed;
    this.metrics = metrics;
    this.loop = loop;
    this.clock = clock;
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
              nextSuspectLogMillis = now + SUSPECT_LOG_INTERVAL_MILLIS;
              EventLog.log(EventType.EXPLAINED_SUSPECT_SENT, "id", id, "content", part);
            });
  }

  private HornbeamusherException refuse(String id, CrashSuspect suspect) {
    int confirmed = history.openCrashes(suspect).size();
    int unconfirmed = unconfirmed(suspect);
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
    if (mayBeQuarantined(request.bodyBytes())
        && history.isQuarantined(request.content(), unconfirmed(request.content()))) {
      return Optional.of(request.content());
    }
    return history.hasOpenParts()
        ? partQuarantine.refusedPart(request.parts(), history.quarantined()).map(part -> part)
        : Optional.empty();
  }

  private boolean mayBeQuarantined(int bodyBytes) {
    return history.mayContain(bodyBytes)
        || losses.values().stream().anyMatch(each -> each.mayContain(bodyBytes));
  }

  private int unconfirmed(CrashSuspect suspect) {
    int count = 0;
    for (Losses each : losses.values()) {
      if (each.suspects.contains(suspect)) {
        count++;
      }
    }
    return count;
  }

  /**
   * Called when a request lost its connection to an endpoint.
   *
   * @param answered whether the endpoint had been answering for a while, so that no part of the
   *     prompt caused its crash
   */
  void connectionLost(EndpointView endpoint, RequestSuspects request, boolean answered) {
    EndpointIncarnation incarnation = endpoint.incarnation();
    if (endpoint.leaving()) {
      return;
    }
    Set<CrashSuspect> suspects = suspects(request, answered);
    if (hasEnded(incarnation)) {
      record(incarnation, suspects);
      return;
    }
    Losses known = losses.get(incarnation);
    if (known == null) {
      known = new Losses(endpoint, clock.millis());
      losses.put(incarnation, known);
      checkLater(known, FIRST_CHECK_MILLIS);
    }
    known.suspects.addAll(suspects);
    known.lastMillis = clock.millis();
    reports.connectionLost(incarnation, suspects);
  }

  /** Handles a loss whose cause another entry did not find out before it ended. */
  private void lossRelayed(EndpointIncarnation incarnation, Set<CrashSuspect> suspects) {
    boolean crashed = hasEnded(incarnation) || !isListed.test(incarnation);
    EventLog.log(
        EventType.CONNECTION_LOSS_RELAYED,
        "endpoint",
        incarnation.id(),
        "start_ms",
        incarnation.startMillis(),
        "suspects",
        suspects.size(),
        "crashed",
        crashed);
    if (crashed) {
      record(incarnation, suspects);
    } else {
      relayed.add(incarnation, suspects, clock.millis());
    }
  }

  private static Set<CrashSuspect> suspects(RequestSuspects request, boolean answered) {
    Set<CrashSuspect> suspects = new HashSet<>();
    suspects.add(request.content());
    if (!answered) {
      suspects.addAll(request.parts());
    }
    return suspects;
  }

  /**
   * Called when a request at an endpoint is cancelled; the endpoint may still run it.
   *
   * @param answered as for {@link #connectionLost}
   */
  void cancelled(EndpointView endpoint, RequestSuspects request, boolean answered) {
    if (!endpoint.leaving()) {
      removeOldCancelled();
      cancelled.add(
          new Cancelled(endpoint.incarnation(), suspects(request, answered), clock.millis()));
    }
  }

  private void removeOldCancelled() {
    long oldest = clock.millis() - CANCELLED_MILLIS;
    while (!cancelled.isEmpty()
        && (cancelled.peek().atMillis() < oldest || cancelled.size() >= MAX_CANCELLED)) {
      cancelled.remove();
    }
  }

  private boolean hasEnded(EndpointIncarnation incarnation) {
    long now = clock.millis();
    ended.values().removeIf(at -> now - at >= VERDICT_TIMEOUT_MILLIS);
    return ended.keySet().stream().anyMatch(incarnation::maybeSameAs);
  }

  /** Called when an endpoint has completed a request. */
  void completed(RequestSuspects request) {
    if (history.mayContain(request.bodyBytes())) {
      boolean quarantined = history.isQuarantined(request.content(), 0);
      history
          .clear(request.content(), clock.millis())
          .ifPresent(cleared -> cleared(cleared, quarantined));
    }
  }

  /** Called when an endpoint has answered a request for a while, or completely. */
  void answered(RequestSuspects request) {
    long now = clock.millis();
    for (PromptPartId part : request.parts()) {
      boolean quarantined = history.isQuarantined(part, 0);
      history.recordSurvival(part, now).ifPresent(cleared -> cleared(cleared, quarantined));
    }
  }

  private void cleared(CrashRecord record, boolean quarantinedBefore) {
    reports.logChange(record, quarantinedBefore, "completed");
    reports.changed(record);
  }

  /** Called when an endpoint has responded to a request. */
  void responded(EndpointIncarnation incarnation, long sentMillis) {
    Losses known = losses.get(incarnation);
    if (known != null && sentMillis > known.lastMillis) {
      alive(known, "responded");
    }
    relayed.responded(incarnation, sentMillis);
  }

  /** Called when an incarnation of an endpoint has ended. */
  void incarnationEnded(EndpointIncarnation incarnation, String evidence) {
    ended.put(incarnation, clock.millis());
    removeOldCancelled();
    cancelled.stream()
        .filter(each -> each.endpoint().maybeSameAs(incarnation))
        .forEach(each -> record(incarnation, each.suspects()));
    relayed.removeAt(incarnation).forEach(each -> record(each.endpoint(), each.suspects()));
    List<Losses> affected =
        losses.values().stream().filter(each -> each.incarnation.maybeSameAs(incarnation)).toList();
    for (Losses each : affected) {
      losses.remove(each.incarnation);
      EventLog.log(
          EventType.ENDPOINT_CRASHED,
          "endpoint",
          each.incarnation.id(),
          "start_ms",
          each.incarnation.startMillis(),
          "evidence",
          evidence,
          "requests",
          each.requests(),
          "after_ms",
          clock.millis() - each.firstMillis);
      record(each.incarnation, each.suspects);
    }
  }

  private void record(EndpointIncarnation incarnation, Set<CrashSuspect> suspects) {
    for (CrashSuspect suspect : suspects) {
      boolean quarantined = history.isQuarantined(suspect, 0);
      history
          .recordCrash(suspect, incarnation, clock.millis())
          .ifPresent(
              changed -> {
                metrics.crashRecorded();
                reports.logChange(changed, quarantined, "own");
                reports.changed(changed);
              });
    }
  }

  private void alive(Losses known, String evidence) {
    losses.remove(known.incarnation);
    EventLog.log(
        EventType.ENDPOINT_ALIVE,
        "endpoint",
        known.incarnation.id(),
        "evidence",
        evidence,
        "requests",
        known.requests(),
        "after_ms",
        clock.millis() - known.firstMillis);
  }

  private void checkLater(Losses known, long delayMillis) {
    loop.after(delayMillis, () -> check(known));
  }

  private void check(Losses known) {
    if (losses.get(known.incarnation) != known) {
      return;
    }
    long age = clock.millis() - known.firstMillis;
    if (known.checks >= MAX_CHECKS) {
      loop.after(
          Math.max(0, VERDICT_TIMEOUT_MILLIS - age), () -> losses.remove(known.incarnation, known));
      return;
    }
    known.checks++;
    check.check(known.endpoint).thenAccept(result -> loop.execute(() -> checked(known, result)));
  }

  private void checked(Losses known, EndpointCheck.Result result) {
    if (losses.get(known.incarnation) != known) {
      return;
    }
    switch (result) {
      case ALIVE -> alive(known, "health-check");
      case ENDED -> incarnationEnded(known.incarnation, "health-check");
      default -> checkLater(known, CHECK_INTERVAL_MILLIS);
    }
  }

  /** A request that was cancelled while it was at an endpoint. */
  private record Cancelled(
      EndpointIncarnation endpoint, Set<CrashSuspect> suspects, long atMillis) {}

  /** The requests whose connections to one incarnation of an endpoint were lost. */
  private static final class Losses {

    private final EndpointView endpoint;
    private final EndpointIncarnation incarnation;
    private final long firstMillis;
    private final Set<CrashSuspect> suspects = new HashSet<>();
    private long lastMillis;
    private int checks;

    Losses(EndpointView endpoint, long now) {
      this.endpoint = endpoint;
      this.incarnation = endpoint.incarnation();
      this.firstMillis = now;
    }

    boolean mayContain(int bodyBytes) {
      return suspects.stream()
          .anyMatch(
              suspect ->
                  suspect instanceof RequestContent content && content.bodyBytes() == bodyBytes);
    }

    /** Returns the number of different requests. */
    long requests() {
      return suspects.stream().filter(RequestContent.class::isInstance).count();
    }
  }
}

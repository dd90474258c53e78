package org.hornbeamusher.entry;

import java.util.HashSet;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.hornbeamusher.admission.AdmissionDecision;
import org.hornbeamusher.admission.AdmissionRequest;
import org.hornbeamusher.claims.ClaimStore;
import org.hornbeamusher.clock.Clock;
import org.hornbeamusher.dispatch.AgentLink;
import org.hornbeamusher.dispatch.AttemptCall;
import org.hornbeamusher.failure.FailureType;
import org.hornbeamusher.failure.HornbeamusherException;
import org.hornbeamusher.failure.Outcome;
import org.hornbeamusher.ids.EndpointId;
import org.hornbeamusher.ids.ServiceName;
import org.hornbeamusher.quarantine.QuarantineDecision;
import org.hornbeamusher.retry.AttemptFailure;
import org.hornbeamusher.retry.RetryDecision;
import org.hornbeamusher.routing.AttemptResult;
import org.hornbeamusher.routing.RouteDecision;
import org.hornbeamusher.routing.RouteRequest;
import org.hornbeamusher.suspects.SuspectClaim;
import org.hornbeamusher.suspects.SuspectStore;
import org.hornbeamusher.wire.Message;

/**
 * Runs one request from its admission to its single response, on the request's own thread.
 *
 * <p>The steps are in order of cost: first those that can refuse a request without communication
 * (quarantine, routing, admission), then the claim of a request that must run at most once, then
 * the attempts. Every path through {@link #run} writes exactly one response: the endpoint's, or a
 * failure with its outcome.
 */
final class RequestRunner {

  /** The functions of the entry that the runner uses. */
  interface Host {

    /** Returns the open link to an endpoint's agent. */
    Optional<AgentLink> link(EndpointId endpoint);

    /** Called for each complete response. */
    void requestCompleted(ServiceName service, AttemptResult.Completed result);

    /**
     * Called for a request that is refused because of crashes until a time, in milliseconds since
     * the epoch.
     */
    void requestQuarantined(ServiceName service, long fingerprint, long untilMillis);

    /** Notifies the other processes of a crash. */
    void broadcastCrash(long fingerprint, int crashes);
  }

  /** Retry-After for a suspect that is already running: by then that run has usually ended. */
  private static final long SUSPECT_RETRY_MILLIS = 2_000;

  /**
   * How long a response waits for the table to record a crash; the crash notice is sent in any
   * case.
   */
  private static final long CRASH_RECORD_TIMEOUT_MILLIS = 1_000;

  private final EntryDecisions decisions;
  private final SuspectStore suspects;
  private final Host host;
  private final ClaimedRun claimedRun;
  private final Clock clock;

  RequestRunner(
      EntryDecisions decisions, SuspectStore suspects, Host host, ClaimStore claims, Clock clock) {
    this.suspects = suspects;
    this.claimedRun = new ClaimedRun(claims, clock);
    this.decisions = decisions;
    this.host = host;
    this.clock = clock;
  }

  /** Runs a request and writes its response. Returns the failure that was written, if any. */
  Optional<HornbeamusherException> run(AdmittedRequest request, ResponseWriter writer)
      throws InterruptedException {
    AdmissionRequest admission;
    try {
      admission = admit(request);
    } catch (HornbeamusherException refused) {
      writer.fail(refused);
      return Optional.of(refused);
    }
    boolean succeeded = false;
    try {
      runClaimedIfRequired(request, writer);
      succeeded = true;
      return Optional.empty();
    } catch (HornbeamusherException failed) {
      writer.fail(failed);
      return Optional.of(failed);
    } finally {
      decisions.requestFinished(request.document().pool(), admission, succeeded);
    }
  }

  private AdmissionRequest admit(AdmittedRequest request) {
    switch (decisions.checkQuarantine(request.fingerprint())) {
      case QuarantineDecision.Allow allow -> {}
      case QuarantineDecision.AllowIsolated alone -> {}
      case QuarantineDecision.Refuse refuse -> {
        if (refuse.type() == FailureType.QUARANTINED) {
          host.requestQuarantined(
              request.document().service(),
              request.fingerprint(),
              clock.millis() + refuse.retryAfterMillis());
        }
        throw HornbeamusherException.notRun(refuse.type()).retryAfter(refuse.retryAfterMillis());
      }
    }
    long firstToken =
        switch (decisions.route(routeRequest(request, Set.of()))) {
          case RouteDecision.SendTo sendTo -> sendTo.estimatedMillis();
          case RouteDecision.Refuse refuse -> throw refused(request, refuse);
        };
    double generating =
        request.maxResponseTokens() * decisions.millisPerToken(request.document().pool());
    AdmissionRequest admission =
        new AdmissionRequest(
            request.document().partner(),
            request.document().service(),
            request.caller(),
            request.costTokens(),
            request.deadlineMillis(),
            firstToken + (long) generating,
            request.document().limits().share(),
            request.document().callerWeights().getOrDefault(request.caller(), 1));
    return switch (decisions.admit(request.document().pool(), admission)) {
      case AdmissionDecision.Admit admit -> admission;
      case AdmissionDecision.Refuse refuse ->
          throw HornbeamusherException.notRun(refuse.type(), request.document().service())
              .retryAfter(refuse.retryAfterMillis());
    };
  }

  private void runClaimedIfRequired(AdmittedRequest request, ResponseWriter writer)
      throws InterruptedException {
    if (request.idempotencyKey().isEmpty()) {
      runAttempts(request, writer);
      return;
    }
    claimedRun.run(
        request, request.idempotencyKey().get(), writer, () -> runAttempts(request, writer));
  }

  private void runAttempts(AdmittedRequest request, ResponseWriter writer)
      throws InterruptedException {
    EarlierAttempts earlier = new EarlierAttempts();
    try {
      runAttempts(request, writer, earlier);
    } catch (HornbeamusherException e) {
      throw earlier.withOutcome(e);
    }
  }

  private void runAttempts(AdmittedRequest request, ResponseWriter writer, EarlierAttempts earlier)
      throws InterruptedException {
    Set<EndpointId> excluded = new HashSet<>();
    int attempts = 0;
    int crashes = 0;
    while (true) {
      attempts++;
      boolean isolated = claimIfSuspect(request, excluded);
      EndpointId endpoint = routeOrReleaseSuspect(request, excluded, isolated);
      try {
        runAttempt(request, endpoint, writer);
        releaseIfIsolated(request, isolated);
        return;
      } catch (AttemptFailedException failed) {
        earlier.failed(failed.failure().outcome());
        if (!failed.crashed()) {
          releaseIfIsolated(request, isolated);
        } else {
          crashes = recordCrash(request.fingerprint());
        }
        AttemptFailure failure =
            new AttemptFailure(
                failed.failure().type(),
                failed.failure().outcome(),
                request.repeatable(),
                attempts,
                crashes,
                request.deadlineMillis() - clock.millis(),
                writer.hasDelivered());
        backOff(failed.failure(), decisions.decideRetry(failure));
        excluded.add(endpoint);
      }
    }
  }

  /**
   * Claims a suspect, a request that was running when an endpoint crashed, and returns whether the
   * request is one. A suspect runs at most once at a time over all entries, and on no endpoint that
   * runs another suspect: otherwise the next crash would again have several suspects, and two
   * entries that each allow it one more run would lose two more endpoints.
   */
  private boolean claimIfSuspect(AdmittedRequest request, Set<EndpointId> excluded) {
    switch (decisions.checkQuarantine(request.fingerprint())) {
      case QuarantineDecision.Allow allow -> {
        return false;
      }
      case QuarantineDecision.AllowIsolated alone -> {
        claimSuspect(request);
        excluded.addAll(decisions.endpointsRunningSuspects());
        return true;
      }
      case QuarantineDecision.Refuse refuse ->
          throw HornbeamusherException.notRun(refuse.type()).retryAfter(refuse.retryAfterMillis());
    }
  }

  private void claimSuspect(AdmittedRequest request) {
    switch (suspects.claim(request.fingerprint(), request.deadlineMillis()).join()) {
      case SuspectClaim.Granted granted -> {}
      case SuspectClaim.Refused refused -> {
        decisions.mergeCrashCount(request.fingerprint(), refused.crashes());
        throw HornbeamusherException.notRun(refused.type()).retryAfter(SUSPECT_RETRY_MILLIS);
      }
    }
  }

  /**
   * Chooses an endpoint. If there is none, a suspect is released, because it would otherwise be
   * refused until its deadline.
   */
  private EndpointId routeOrReleaseSuspect(
      AdmittedRequest request, Set<EndpointId> excluded, boolean isolated) {
    try {
      return route(request, excluded);
    } catch (HornbeamusherException refused) {
      releaseIfIsolated(request, isolated);
      throw refused;
    }
  }

  private void releaseIfIsolated(AdmittedRequest request, boolean isolated) {
    if (isolated) {
      suspects.release(request.fingerprint());
    }
  }

  /** Records a crash in this process, in the table and, by notices, at the other entries. */
  private int recordCrash(long fingerprint) {
    int known = decisions.recordCrash(fingerprint);
    int recorded =
        suspects
            .recordCrash(fingerprint)
            .completeOnTimeout(known, CRASH_RECORD_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS)
            .exceptionally(thrown -> known)
            .join();
    int crashes = Math.max(known, recorded);
    decisions.mergeCrashCount(fingerprint, crashes);
    host.broadcastCrash(fingerprint, crashes);
    return crashes;
  }

  private static void backOff(HornbeamusherException failure, RetryDecision decision)
      throws InterruptedException {
    switch (decision) {
      case RetryDecision.Retry retry -> Thread.sleep(retry.backoffMillis());
      case RetryDecision.GiveUp giveUp -> throw finalFailure(failure, giveUp);
    }
  }

  private static HornbeamusherException finalFailure(
      HornbeamusherException failure, RetryDecision.GiveUp giveUp) {
    if (giveUp.type() == failure.type()) {
      return failure.withOutcome(giveUp.outcome());
    }
    return HornbeamusherException.of(giveUp.type(), giveUp.outcome(), failure.type().label())
        .causedBy(failure);
  }

  private EndpointId route(AdmittedRequest request, Set<EndpointId> excluded) {
    return switch (decisions.routeAndStart(routeRequest(request, excluded))) {
      case RouteDecision.SendTo sendTo -> sendTo.endpoint();
      case RouteDecision.Refuse refuse -> throw refused(request, refuse);
    };
  }

  private RouteRequest routeRequest(AdmittedRequest request, Set<EndpointId> excluded) {
    return new RouteRequest(
        request.document().pool(),
        request.adapter(),
        request.prefixHash(),
        request.document().weights(),
        excluded,
        request.deadlineMillis() - clock.millis());
  }

  private static HornbeamusherException refused(
      AdmittedRequest request, RouteDecision.Refuse refuse) {
    return HornbeamusherException.notRun(refuse.type(), request.document().service())
        .retryAfter(refuse.retryAfterMillis());
  }

  private void runAttempt(AdmittedRequest request, EndpointId endpoint, ResponseWriter writer)
      throws InterruptedException, AttemptFailedException {
    AttemptResult result = new AttemptResult.Failed();
    decisions.fingerprintStarted(request.fingerprint(), endpoint);
    try {
      AttemptCall call =
          host.link(endpoint)
              .flatMap(link -> link.open(number -> dispatch(request, number)))
              .orElseThrow(() -> neverSent(endpoint));
      AttemptResult.Completed completed =
          new AttemptRunner(request, endpoint, call, writer, clock).run(decisions);
      host.requestCompleted(request.document().service(), completed);
      result = completed;
    } catch (AttemptFailedException failed) {
      result = failed.result();
      throw failed;
    } finally {
      decisions.fingerprintEnded(request.fingerprint());
      decisions.attemptEnded(endpoint, request.adapter().orElse(null), result);
    }
  }

  private static AttemptFailedException neverSent(EndpointId endpoint) {
    return new AttemptFailedException(
        HornbeamusherException.notRun(FailureType.ENDPOINT_LOST, endpoint),
        new AttemptResult.Refused(),
        false);
  }

  private Message.Dispatch dispatch(AdmittedRequest request, long number) {
    AdmittedRequest.EndpointCall call = request.endpointCall();
    var document = request.document();
    return new Message.Dispatch(
        number,
        request.id().value(),
        call.method(),
        call.path(),
        call.contentType(),
        call.body(),
        request.adapter().map(Object::toString).orElse(""),
        document.partner().value(),
        document.service().value(),
        request.caller().value(),
        request.costTokens(),
        request.deadlineMillis(),
        request.deadlineMillis(),
        document.weights().loadStall(),
        document.weights().batchEfficiency(),
        document.limits().share(),
        document.callerWeights().getOrDefault(request.caller(), 1),
        document.limits().maxQueueLength(),
        request.idempotencyKey().map(Object::toString).orElse(""),
        AttemptCall.INITIAL_CREDIT_BYTES);
  }

  /**
   * Returns the failure of a request whose thread was interrupted; no current code interrupts it.
   */
  static HornbeamusherException interrupted() {
    return HornbeamusherException.of(FailureType.SHUTTING_DOWN, Outcome.UNKNOWN);
  }
}

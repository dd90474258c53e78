package org.hornbeamusher.entry;

import java.util.HashSet;
import java.util.Optional;
import java.util.Set;
import org.hornbeamusher.admission.AdmissionDecision;
import org.hornbeamusher.admission.AdmissionRequest;
import org.hornbeamusher.claims.ClaimKeeper;
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
import org.hornbeamusher.wire.Message;

/**
 * Runs one request from its admission to its one answer, on the request's own thread.
 *
 * <p>The order is the order of costs: what can refuse a request without telling anybody comes first
 * (quarantine, routing, admission), then the claim of a request that must run at most once, then
 * the attempts. Every way out of {@link #run} writes exactly one answer: the endpoint's, or a
 * failure with its outcome.
 */
final class RequestRunner {

  /** What the runner needs of the entry. */
  interface Host {

    /** Returns the open link to an endpoint's agent. */
    Optional<AgentLink> link(EndpointId endpoint);

    /** Hears of a whole answer. */
    void answered(ServiceName service, AttemptResult.Answered answer);

    /** Hears of a request that is refused until a time, in milliseconds, because of crashes. */
    void quarantined(ServiceName service, long fingerprint, long untilMillis);

    /** Tells the other processes about a crash. */
    void crashed(long fingerprint, int crashes);
  }

  private final EntryDecisions decisions;
  private final Host host;
  private final ClaimedRun claimed;
  private final Clock clock;

  RequestRunner(EntryDecisions decisions, Host host, ClaimKeeper claims, Clock clock) {
    this.claimed = new ClaimedRun(claims, clock);
    this.decisions = decisions;
    this.host = host;
    this.clock = clock;
  }

  /** Runs a request and writes its answer. Returns the failure that was written, if any. */
  Optional<HornbeamusherException> run(AdmittedRequest request, AnswerWriter writer)
      throws InterruptedException {
    AdmissionRequest admission;
    try {
      admission = admit(request);
    } catch (HornbeamusherException refused) {
      writer.fail(refused);
      return Optional.of(refused);
    }
    boolean answered = false;
    try {
      runOnceOrMore(request, writer);
      answered = true;
      return Optional.empty();
    } catch (HornbeamusherException failed) {
      writer.fail(failed);
      return Optional.of(failed);
    } finally {
      decisions.finished(admission, answered);
    }
  }

  private AdmissionRequest admit(AdmittedRequest request) {
    switch (decisions.check(request.fingerprint())) {
      case QuarantineDecision.Allow allow -> {}
      case QuarantineDecision.AllowAlone alone -> {}
      case QuarantineDecision.Refuse refuse -> {
        if (refuse.type() == FailureType.QUARANTINED) {
          host.quarantined(
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
        request.answerTokens() * decisions.millisPerToken(request.document().pool());
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
    return switch (decisions.admit(admission)) {
      case AdmissionDecision.Admit admit -> admission;
      case AdmissionDecision.Refuse refuse ->
          throw HornbeamusherException.notRun(refuse.type(), request.document().service())
              .retryAfter(refuse.retryAfterMillis());
    };
  }

  private void runOnceOrMore(AdmittedRequest request, AnswerWriter writer)
      throws InterruptedException {
    if (request.onceKey().isEmpty()) {
      runAttempts(request, writer);
      return;
    }
    claimed.run(request, request.onceKey().get(), writer, () -> runAttempts(request, writer));
  }

  private void runAttempts(AdmittedRequest request, AnswerWriter writer)
      throws InterruptedException {
    Set<EndpointId> excluded = new HashSet<>();
    int attempts = 0;
    int crashes = 0;
    while (true) {
      attempts++;
      EndpointId endpoint = route(request, excluded);
      try {
        runAttempt(request, endpoint, writer);
        return;
      } catch (AttemptFailedException failed) {
        if (failed.crashed()) {
          crashes = decisions.crashed(request.fingerprint());
          host.crashed(request.fingerprint(), crashes);
        }
        AttemptFailure failure =
            new AttemptFailure(
                failed.failure().type(),
                failed.failure().outcome(),
                request.repeatable(),
                attempts,
                crashes,
                request.deadlineMillis() - clock.millis(),
                writer.delivered());
        backOff(failed.failure(), decisions.decide(failure));
        excluded.add(endpoint);
      }
    }
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

  private void runAttempt(AdmittedRequest request, EndpointId endpoint, AnswerWriter writer)
      throws InterruptedException, AttemptFailedException {
    AttemptResult result = new AttemptResult.Failed();
    decisions.fingerprintStarted(request.fingerprint());
    try {
      AttemptCall call =
          host.link(endpoint)
              .flatMap(link -> link.open(number -> dispatch(request, number)))
              .orElseThrow(() -> neverSent(endpoint));
      AttemptResult.Answered answer =
          new AttemptFollower(request, endpoint, call, writer, clock).follow(decisions);
      host.answered(request.document().service(), answer);
      result = answer;
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
    AdmittedRequest.EndpointCall call = request.call();
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
        document.limits().queue(),
        request.onceKey().map(Object::toString).orElse(""),
        AttemptCall.INITIAL_CREDIT);
  }

  /** Names the outcome of a request whose thread was interrupted, which nothing in use does. */
  static HornbeamusherException interrupted() {
    return HornbeamusherException.of(FailureType.SHUTTING_DOWN, Outcome.UNKNOWN);
  }
}

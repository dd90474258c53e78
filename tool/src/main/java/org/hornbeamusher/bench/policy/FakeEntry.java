package org.hornbeamusher.bench.policy;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.LongSupplier;
import org.hornbeamusher.admission.AdmissionDecision;
import org.hornbeamusher.admission.AdmissionPolicy;
import org.hornbeamusher.admission.AdmissionRequest;
import org.hornbeamusher.failure.FailureType;
import org.hornbeamusher.failure.Outcome;
import org.hornbeamusher.ids.EndpointId;
import org.hornbeamusher.ids.PoolName;
import org.hornbeamusher.retry.AttemptFailure;
import org.hornbeamusher.retry.RetryDecision;
import org.hornbeamusher.retry.RetryPolicy;
import org.hornbeamusher.routing.AttemptResult;

/** The decision classes of an entry, connected in the same way as in the entry daemon. */
final class FakeEntry {

  private static final long PROGRESS_MILLIS = 1_000;

  final EndpointChoice choice;
  private final int zone;
  private final EventHeap events;
  private final RunStatistics statistics;
  private final boolean pooled;
  private final LongSupplier tickets;
  private final Map<PoolName, AdmissionPolicy> admission = new HashMap<>();
  private final Map<PoolName, ServiceTimeEstimate> serviceTimes = new HashMap<>();
  private final RetryPolicy retries;

  FakeEntry(
      int zone,
      PolicyVariant variant,
      boolean pooled,
      EventHeap events,
      RunStatistics statistics,
      LongSupplier tickets) {
    this.zone = zone;
    this.pooled = pooled;
    this.events = events;
    this.statistics = statistics;
    this.tickets = tickets;
    this.choice = new EndpointChoice(variant.strategy(), zone, zone);
    this.retries = new RetryPolicy(variant.retry());
  }

  void addPool(PoolName pool, AdmissionPolicy policy) {
    admission.put(pool, policy);
    serviceTimes.put(pool, new ServiceTimeEstimate(SimulationSizes.MILLIS_PER_TOKEN));
  }

  void requestArrived(Arrival arrival) {
    PoolName pool = pool(arrival);
    Optional<EndpointChoice.Choice> to = choice.choose(arrival, pool, Set.of(), events.now());
    if (to.isEmpty()) {
      statistics.requestRefused(arrival, FailureType.NO_ENDPOINT, true);
      return;
    }
    AdmissionRequest request = admissionRequest(arrival, to.get().waitMillis());
    switch (admission.get(pool).admit(request, events.now())) {
      case AdmissionDecision.Admit admit -> send(arrival, to.get(), request, 1, Set.of());
      case AdmissionDecision.Refuse refuse ->
          statistics.requestRefused(arrival, refuse.type(), true);
    }
  }

  void attemptCompleted(Attempt attempt) {
    if (!endOnce(attempt, result(attempt))) {
      return;
    }
    Arrival arrival = attempt.arrival;
    serviceTimes.get(pool(arrival)).record(arrival.tokens(), events.now() - attempt.startedMillis);
    retries.succeeded(events.now());
    admission.get(pool(arrival)).finished(attempt.admitted, true, events.now());
    statistics.requestCompleted(arrival, events.now(), attempt);
  }

  void attemptRefused(Attempt attempt, FailureType type) {
    if (endOnce(attempt, new AttemptResult.Refused())) {
      retryOrGiveUp(attempt, type, Outcome.NOT_RUN);
    }
  }

  void attemptLost(Attempt attempt) {
    if (endOnce(attempt, new AttemptResult.Failed())) {
      retryOrGiveUp(attempt, FailureType.ENDPOINT_FAILED, Outcome.UNKNOWN);
    }
  }

  private void retryOrGiveUp(Attempt attempt, FailureType type, Outcome outcome) {
    Arrival arrival = attempt.arrival;
    AttemptFailure failure =
        new AttemptFailure(
            type,
            outcome,
            true,
            attempt.number,
            outcome.equals(Outcome.UNKNOWN) ? 1 : 0,
            arrival.deadlineMillis() - events.now(),
            false);
    switch (retries.decide(failure, events.now())) {
      case RetryDecision.Retry retry -> events.after(retry.backoffMillis(), () -> retry(attempt));
      case RetryDecision.GiveUp giveUp -> giveUp(attempt, giveUp.type());
    }
  }

  private void retry(Attempt failed) {
    Set<EndpointId> excluded = new HashSet<>(failed.excluded);
    excluded.add(failed.endpoint.id);
    choice
        .choose(failed.arrival, pool(failed.arrival), excluded, events.now())
        .ifPresentOrElse(
            to -> send(failed.arrival, to, failed.admitted, failed.number + 1, excluded),
            () -> giveUp(failed, FailureType.NO_ENDPOINT));
  }

  private void giveUp(Attempt attempt, FailureType type) {
    admission.get(pool(attempt.arrival)).finished(attempt.admitted, false, events.now());
    statistics.requestRefused(attempt.arrival, type, false);
  }

  private void send(
      Arrival arrival,
      EndpointChoice.Choice to,
      AdmissionRequest request,
      int number,
      Set<EndpointId> excluded) {
    Attempt attempt =
        new Attempt(
            tickets.getAsLong(),
            arrival,
            this,
            to.endpoint(),
            request,
            number,
            excluded,
            events.now());
    choice.attemptStarted(attempt, events.now());
    long hop =
        to.endpoint().zone == zone
            ? SimulationSizes.SAME_ZONE_MILLIS
            : SimulationSizes.CROSS_ZONE_MILLIS;
    events.after(hop, () -> to.endpoint().submit(attempt));
    events.at(arrival.deadlineMillis(), () -> deadlinePassed(attempt));
    events.after(PROGRESS_MILLIS, () -> progress(attempt));
  }

  private void progress(Attempt attempt) {
    if (attempt.ended) {
      return;
    }
    long busy = events.now() - attempt.firstTokenMillis;
    if (attempt.startedMillis >= 0 && busy > 0) {
      choice.progress(attempt, busy, attempt.tokensBy(events.now()), events.now());
    }
    events.after(PROGRESS_MILLIS, () -> progress(attempt));
  }

  private void deadlinePassed(Attempt attempt) {
    long busy = events.now() - attempt.firstTokenMillis;
    AttemptResult result =
        attempt.startedMillis < 0 || busy <= 0
            ? new AttemptResult.Cancelled()
            : new AttemptResult.Expired(busy, attempt.tokensBy(events.now()));
    if (endOnce(attempt, result)) {
      attempt.endpoint.cancel(attempt);
      admission.get(pool(attempt.arrival)).finished(attempt.admitted, false, events.now());
    }
  }

  private boolean endOnce(Attempt attempt, AttemptResult result) {
    if (attempt.ended) {
      return false;
    }
    attempt.ended = true;
    choice.attemptEnded(attempt, result, events.now());
    return true;
  }

  private AttemptResult result(Attempt attempt) {
    return new AttemptResult.Completed(
        attempt.firstTokenMillis - attempt.sentMillis,
        events.now() - attempt.sentMillis,
        attempt.stallMillis,
        attempt.arrival.tokens());
  }

  private AdmissionRequest admissionRequest(Arrival arrival, long waitMillis) {
    long service = serviceTimes.get(pool(arrival)).estimateMillis(arrival.tokens());
    return new AdmissionRequest(
        arrival.tenant().partner(),
        arrival.tenant().service(),
        arrival.caller(),
        arrival.tokens(),
        arrival.deadlineMillis(),
        waitMillis + service,
        1,
        1);
  }

  private PoolName pool(Arrival arrival) {
    return pooled ? Tenant.SHARED_POOL : arrival.tenant().ownPool();
  }
}

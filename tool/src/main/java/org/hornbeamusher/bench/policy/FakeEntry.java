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

/** An entry's decisions, wired as the product's shell wires them. */
final class FakeEntry {

  private static final long PROGRESS_MILLIS = 1_000;

  final EndpointChoice choice;
  private final int zone;
  private final EventHeap events;
  private final Tally tally;
  private final boolean pooled;
  private final LongSupplier tickets;
  private final Map<PoolName, AdmissionPolicy> admission = new HashMap<>();
  private final Map<PoolName, ServiceTime> serviceTimes = new HashMap<>();
  private final RetryPolicy retries;

  FakeEntry(
      int zone, Row row, boolean pooled, EventHeap events, Tally tally, LongSupplier tickets) {
    this.zone = zone;
    this.pooled = pooled;
    this.events = events;
    this.tally = tally;
    this.tickets = tickets;
    this.choice = new EndpointChoice(row.strategy(), zone, zone);
    this.retries = new RetryPolicy(row.retry());
  }

  void serve(PoolName pool, AdmissionPolicy policy) {
    admission.put(pool, policy);
    serviceTimes.put(pool, new ServiceTime(Sizes.MILLIS_PER_TOKEN));
  }

  void arrived(Arrival arrival) {
    PoolName pool = pool(arrival);
    Optional<EndpointChoice.Choice> to = choice.choose(arrival, pool, Set.of(), events.now());
    if (to.isEmpty()) {
      tally.refused(arrival, FailureType.NO_ENDPOINT, true);
      return;
    }
    AdmissionRequest request = admissionRequest(arrival, to.get().waitMillis());
    switch (admission.get(pool).admit(request, events.now())) {
      case AdmissionDecision.Admit admit -> send(arrival, to.get(), request, 1, Set.of());
      case AdmissionDecision.Refuse refuse -> tally.refused(arrival, refuse.type(), true);
    }
  }

  void answered(Attempt attempt) {
    if (!end(attempt, result(attempt))) {
      return;
    }
    Arrival arrival = attempt.arrival;
    serviceTimes
        .get(pool(arrival))
        .answered(arrival.tokens(), events.now() - attempt.startedMillis);
    retries.succeeded(events.now());
    admission.get(pool(arrival)).finished(attempt.admitted, true, events.now());
    tally.answered(arrival, events.now(), attempt);
  }

  void refused(Attempt attempt, FailureType type) {
    if (end(attempt, new AttemptResult.Refused())) {
      settle(attempt, type, Outcome.NOT_RUN);
    }
  }

  void lost(Attempt attempt) {
    if (end(attempt, new AttemptResult.Failed())) {
      settle(attempt, FailureType.ENDPOINT_FAILED, Outcome.UNKNOWN);
    }
  }

  private void settle(Attempt attempt, FailureType type, Outcome outcome) {
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
      case RetryDecision.Retry retry -> events.after(retry.backoffMillis(), () -> again(attempt));
      case RetryDecision.GiveUp giveUp -> giveUp(attempt, giveUp.type());
    }
  }

  private void again(Attempt failed) {
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
    tally.refused(attempt.arrival, type, false);
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
    choice.started(attempt, events.now());
    long hop = to.endpoint().zone == zone ? Sizes.SAME_ZONE_MILLIS : Sizes.CROSS_ZONE_MILLIS;
    events.after(hop, () -> to.endpoint().submit(attempt));
    events.at(arrival.deadlineMillis(), () -> expired(attempt));
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

  private void expired(Attempt attempt) {
    long busy = events.now() - attempt.firstTokenMillis;
    AttemptResult result =
        attempt.startedMillis < 0 || busy <= 0
            ? new AttemptResult.Cancelled()
            : new AttemptResult.Expired(busy, attempt.tokensBy(events.now()));
    if (end(attempt, result)) {
      attempt.endpoint.cancel(attempt);
      admission.get(pool(attempt.arrival)).finished(attempt.admitted, false, events.now());
    }
  }

  private boolean end(Attempt attempt, AttemptResult result) {
    if (attempt.ended) {
      return false;
    }
    attempt.ended = true;
    choice.ended(attempt, result, events.now());
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

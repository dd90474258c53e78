package org.hornbeamusher.entry;

import java.util.HashMap;
import java.util.Map;
import java.util.Set;
import org.hornbeamusher.admission.AdmissionDecision;
import org.hornbeamusher.admission.AdmissionPolicy;
import org.hornbeamusher.admission.AdmissionRequest;
import org.hornbeamusher.admission.AdmissionSettings;
import org.hornbeamusher.clock.Clock;
import org.hornbeamusher.ids.AdapterRef;
import org.hornbeamusher.ids.AvailabilityZone;
import org.hornbeamusher.ids.EndpointId;
import org.hornbeamusher.ids.PartnerId;
import org.hornbeamusher.ids.PoolName;
import org.hornbeamusher.quarantine.Quarantine;
import org.hornbeamusher.quarantine.QuarantineDecision;
import org.hornbeamusher.quarantine.QuarantineSettings;
import org.hornbeamusher.retry.AttemptFailure;
import org.hornbeamusher.retry.RetryDecision;
import org.hornbeamusher.retry.RetryPolicy;
import org.hornbeamusher.retry.RetrySettings;
import org.hornbeamusher.routing.AttemptResult;
import org.hornbeamusher.routing.EndpointLoad;
import org.hornbeamusher.routing.RouteDecision;
import org.hornbeamusher.routing.RouteRequest;
import org.hornbeamusher.routing.Router;

/**
 * The decisions of one entry behind one lock. Each takes microseconds, so that one lock for all is
 * cheaper than telling apart which of them share state.
 */
final class EntryDecisions {

  /** Weight of the newest answer in the moving average of a pool's token interval. */
  private static final double PACE_GAIN = 0.05;

  private final Router router;
  private final Map<PartnerId, Integer> partnerShares;

  /** One policy for each pool: a full pool says nothing about the others. */
  private final Map<PoolName, AdmissionPolicy> admissions = new HashMap<>();

  private int entries = 1;
  private final RetryPolicy retries;
  private final Quarantine quarantine;
  private final Clock clock;
  private final Map<PoolName, Double> millisPerToken = new HashMap<>();

  EntryDecisions(
      AvailabilityZone zone,
      Map<PartnerId, Integer> partnerShares,
      RetrySettings retries,
      QuarantineSettings quarantine,
      Clock clock) {
    this.router = new Router(zone);
    this.partnerShares = Map.copyOf(partnerShares);
    this.retries = new RetryPolicy(retries);
    this.quarantine = new Quarantine(quarantine);
    this.clock = clock;
  }

  synchronized void joined(EndpointId id, AvailabilityZone zone, PoolName pool) {
    router.endpointJoined(id, zone, pool, clock.millis());
  }

  synchronized void left(EndpointId id) {
    router.endpointLeft(id, clock.millis());
  }

  synchronized void reported(EndpointId id, EndpointLoad load) {
    router.loadReported(id, load, clock.millis());
  }

  synchronized RouteDecision route(RouteRequest request) {
    return router.route(request, clock.millis());
  }

  /** Chooses an endpoint and counts the attempt there in one step. */
  synchronized RouteDecision routeAndStart(RouteRequest request) {
    RouteDecision decision = router.route(request, clock.millis());
    if (decision instanceof RouteDecision.SendTo sendTo) {
      router.attemptStarted(sendTo.endpoint(), request.adapter().orElse(null), clock.millis());
    }
    return decision;
  }

  synchronized void attemptEnded(EndpointId id, AdapterRef adapter, AttemptResult result) {
    router.attemptEnded(id, adapter, result, clock.millis());
  }

  /** Takes in how many entries share the traffic. */
  synchronized void entryCount(int count) {
    entries = count;
    router.entryCount(count);
  }

  synchronized AdmissionDecision admit(PoolName pool, AdmissionRequest request) {
    long limit = AdmissionSettings.limit(router.batchCapacity(pool), entries);
    AdmissionPolicy admission =
        admissions.computeIfAbsent(
            pool, key -> new AdmissionPolicy(AdmissionSettings.of(limit, partnerShares)));
    admission.setInFlightLimit(limit);
    return admission.admit(request, clock.millis());
  }

  synchronized void finished(PoolName pool, AdmissionRequest request, boolean answered) {
    admissions.get(pool).finished(request, answered, clock.millis());
    if (answered) {
      retries.succeeded(clock.millis());
    }
  }

  synchronized RetryDecision decide(AttemptFailure failure) {
    return retries.decide(failure, clock.millis());
  }

  synchronized QuarantineDecision check(long fingerprint) {
    return quarantine.check(fingerprint, clock.millis());
  }

  synchronized void fingerprintStarted(long fingerprint, EndpointId endpoint) {
    quarantine.attemptStarted(fingerprint, endpoint, clock.millis());
  }

  synchronized Set<EndpointId> endpointsRunningSuspects() {
    return Set.copyOf(quarantine.endpointsRunningSuspects());
  }

  /** Takes in how fast an answer comes that is under way. */
  synchronized void progress(EndpointId endpoint, long busyMillis, int tokens) {
    router.progressReported(endpoint, busyMillis, tokens, clock.millis());
  }

  synchronized void fingerprintEnded(long fingerprint) {
    quarantine.attemptEnded(fingerprint, clock.millis());
  }

  synchronized int crashed(long fingerprint) {
    return quarantine.endpointCrashed(fingerprint, clock.millis());
  }

  synchronized void crashObserved(long fingerprint, int crashes) {
    quarantine.mergeCrashCount(fingerprint, crashes, clock.millis());
  }

  /** Returns the expected time between tokens of a pool; 0 until an answer was seen. */
  synchronized double millisPerToken(PoolName pool) {
    return millisPerToken.getOrDefault(pool, 0.0);
  }

  synchronized void tokensSeen(PoolName pool, int tokens, long millis) {
    if (tokens > 1) {
      double pace = (double) millis / (tokens - 1);
      millisPerToken.merge(pool, pace, (old, seen) -> old + (seen - old) * PACE_GAIN);
    }
  }
}

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
 * Guards the decision objects of one entry by a single lock. Each decision takes microseconds, so a
 * single lock costs less than separate locks for the parts that share state.
 */
final class EntryDecisions {

  /** Weight of the latest response in the moving average of a pool's token interval. */
  private static final double TOKEN_INTERVAL_GAIN = 0.05;

  private final Router router;
  private final Map<PartnerId, Integer> partnerShares;

  /** One policy for each pool: a full pool must not restrict admission to the others. */
  private final Map<PoolName, AdmissionPolicy> admissions = new HashMap<>();

  private int entryCount = 1;
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

  synchronized void endpointJoined(EndpointId id, AvailabilityZone zone, PoolName pool) {
    router.endpointJoined(id, zone, pool, clock.millis());
  }

  synchronized void endpointLeft(EndpointId id) {
    router.endpointLeft(id, clock.millis());
  }

  synchronized void loadReported(EndpointId id, EndpointLoad load) {
    router.loadReported(id, load, clock.millis());
  }

  synchronized RouteDecision route(RouteRequest request) {
    return router.route(request, clock.millis());
  }

  /** Chooses an endpoint and counts the attempt there, atomically. */
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

  /** Sets how many entries share the traffic. */
  synchronized void setEntryCount(int count) {
    entryCount = count;
    router.entryCount(count);
  }

  synchronized AdmissionDecision admit(PoolName pool, AdmissionRequest request) {
    long limit = AdmissionSettings.limit(router.batchCapacity(pool), entryCount);
    AdmissionPolicy admission =
        admissions.computeIfAbsent(
            pool, key -> new AdmissionPolicy(AdmissionSettings.of(limit, partnerShares)));
    admission.setInFlightLimit(limit);
    return admission.admit(request, clock.millis());
  }

  synchronized void requestFinished(PoolName pool, AdmissionRequest request, boolean succeeded) {
    admissions.get(pool).finished(request, succeeded, clock.millis());
    if (succeeded) {
      retries.succeeded(clock.millis());
    }
  }

  synchronized RetryDecision decideRetry(AttemptFailure failure) {
    return retries.decide(failure, clock.millis());
  }

  synchronized QuarantineDecision checkQuarantine(long fingerprint) {
    return quarantine.check(fingerprint, clock.millis());
  }

  synchronized void fingerprintStarted(long fingerprint, EndpointId endpoint) {
    quarantine.attemptStarted(fingerprint, endpoint, clock.millis());
  }

  synchronized Set<EndpointId> endpointsRunningSuspects() {
    return Set.copyOf(quarantine.endpointsRunningSuspects());
  }

  /** Records the progress of a response that is being generated. */
  synchronized void progressReported(EndpointId endpoint, long busyMillis, int tokens) {
    router.progressReported(endpoint, busyMillis, tokens, clock.millis());
  }

  synchronized void fingerprintEnded(long fingerprint) {
    quarantine.attemptEnded(fingerprint, clock.millis());
  }

  synchronized int recordCrash(long fingerprint) {
    return quarantine.endpointCrashed(fingerprint, clock.millis());
  }

  synchronized void mergeCrashCount(long fingerprint, int crashes) {
    quarantine.mergeCrashCount(fingerprint, crashes, clock.millis());
  }

  /** Returns the expected time between tokens of a pool; 0 before the first response. */
  synchronized double millisPerToken(PoolName pool) {
    return millisPerToken.getOrDefault(pool, 0.0);
  }

  synchronized void recordTokenInterval(PoolName pool, int tokens, long millis) {
    if (tokens > 1) {
      double interval = (double) millis / (tokens - 1);
      millisPerToken.merge(
          pool, interval, (old, newest) -> old + (newest - old) * TOKEN_INTERVAL_GAIN);
    }
  }
}

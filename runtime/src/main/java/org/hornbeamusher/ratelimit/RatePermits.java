package org.hornbeamusher.ratelimit;

import java.util.HashMap;
import java.util.Map;
import org.hornbeamusher.ids.EndpointId;

/**
 * Issues permits to all entries for sending requests to rate-limited endpoints.
 *
 * <p><b>Load.</b> An overloaded endpoint advertises how many requests a second it accepts from all
 * entries together. If each entry kept to the limit by itself, they would exceed it by a factor of
 * their number. Even shares leave most of it unused if callers are spread unevenly over entries,
 * and at a few requests a second a share is less than one request per window.
 *
 * <p><b>Algorithm.</b> All entries request permits from one process, which paces the requests. It
 * takes the limit from the entries; the most recently advertised one applies. An entry that
 * receives a response without a limit reports it, and all entries are then permitted at once. The
 * state need not be persisted: a successor starts without saved permits. The incarnations of an
 * endpoint share one limit, because some entries may not know its start time.
 *
 * <p>Rejected: exchanging usage between entries, as for quotas. Its error is one request per entry
 * and update, which is negligible for a quota in tokens but several times a limit of one request a
 * second.
 */
public final class RatePermits {

  /**
   * Lower limits are raised to this one. An endpoint with a limit of 0 that is sent no requests
   * could never advertise a higher one.
   */
  static final double MIN_REQUESTS_PER_SECOND = 0.25;

  /** Idle time after which an endpoint is removed, with the times of its advertised limits. */
  private static final long IDLE_RETENTION_MILLIS = 60_000;

  private final Map<EndpointId, EndpointState> endpoints = new HashMap<>();
  private long nextSweepMillis;

  /**
   * Decides whether a request may be sent.
   *
   * @param endpoint the destination
   * @param perSecond the limit known to the requesting entry
   * @param advertisedMillis when the endpoint advertised it
   * @param maxWaitMillis how long the request can wait
   * @param now current time in milliseconds
   * @return the decision
   */
  public RatePermitDecision tryAcquire(
      EndpointId endpoint, double perSecond, long advertisedMillis, long maxWaitMillis, long now) {
    EndpointState state = endpointState(endpoint, now);
    if (advertisedMillis > state.advertisedMillis) {
      state.advertisedMillis = advertisedMillis;
      state.perSecond = perSecond;
    }
    if (state.liftedMillis > state.advertisedMillis) {
      return new RatePermitDecision.Granted(0);
    }
    double rate = Math.max(MIN_REQUESTS_PER_SECOND, state.perSecond);
    return state.pacer.tryAcquire(rate, maxWaitMillis, now);
  }

  /**
   * Records that an endpoint no longer advertises a limit.
   *
   * @param endpoint the endpoint
   * @param sentMillis when the request whose response had no limit was sent
   * @param now current time in milliseconds
   */
  public void limitLifted(EndpointId endpoint, long sentMillis, long now) {
    EndpointState state = endpointState(endpoint, now);
    state.liftedMillis = Math.max(state.liftedMillis, sentMillis);
  }

  private EndpointState endpointState(EndpointId endpoint, long now) {
    if (now >= nextSweepMillis) {
      nextSweepMillis = now + IDLE_RETENTION_MILLIS;
      endpoints.values().removeIf(state -> now - state.lastUsedMillis >= IDLE_RETENTION_MILLIS);
    }
    EndpointState state = endpoints.computeIfAbsent(endpoint, unused -> new EndpointState());
    state.lastUsedMillis = now;
    return state;
  }

  private static final class EndpointState {

    private final RequestPacer pacer = new RequestPacer();
    private double perSecond;
    private long advertisedMillis = Long.MIN_VALUE;
    private long liftedMillis = Long.MIN_VALUE;
    private long lastUsedMillis;
  }
}

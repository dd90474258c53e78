package org.hornbeamusher.ratelimit;

import java.util.HashMap;
import java.util.Map;
import org.hornbeamusher.ids.EndpointId;

/**
 * Permits of all entries to send requests to endpoints that limit their rate.
 *
 * <p><b>Load.</b> An endpoint in need states how many requests a second it takes from all entries
 * together. Entries that each keep to the limit exceed it by their number; even shares leave most
 * of it unused where callers reach entries unevenly, and with few requests a second a share is less
 * than one request in a window.
 *
 * <p><b>Algorithm.</b> All entries ask one process, which paces the requests. It takes the limit
 * from those that ask, the latest statement first. An entry whose answer states no limit any more
 * reports that, and the others are then permitted at once. Nothing here has to survive: a successor
 * starts with the burst of one second. Incarnations of an endpoint share one limit, since some
 * entries may not know when it started.
 *
 * <p>Rejected: usage that entries exchange, as for quotas. Its error is one request for each entry
 * and update, which is nothing beside a quota in tokens and several times a limit of one request a
 * second.
 */
public final class RatePermits {

  /**
   * A limit of less is taken for this one: an endpoint that takes nothing now and is sent nothing
   * could never state that it takes requests again.
   */
  static final double LEAST_PER_SECOND = 0.25;

  /** An endpoint that nobody has asked for is forgotten, and with it the order of statements. */
  private static final long FORGOTTEN_MILLIS = 60_000;

  private final Map<EndpointId, Paced> endpoints = new HashMap<>();
  private long nextSweepMillis;

  /**
   * Decides about a request.
   *
   * @param endpoint where it is to be sent
   * @param perSecond the limit as the asking entry knows it
   * @param statedMillis when the endpoint stated that
   * @param mostWaitMillis how long the request can wait
   * @param now milliseconds
   * @return whether it may be sent
   */
  public PermitDecision permit(
      EndpointId endpoint, double perSecond, long statedMillis, long mostWaitMillis, long now) {
    Paced paced = paced(endpoint, now);
    if (statedMillis > paced.statedMillis) {
      paced.statedMillis = statedMillis;
      paced.perSecond = perSecond;
    }
    if (paced.liftedMillis > paced.statedMillis) {
      return new PermitDecision.Granted(0);
    }
    double rate = Math.max(LEAST_PER_SECOND, paced.perSecond);
    return paced.pacer.permit(rate, mostWaitMillis, now);
  }

  /**
   * An endpoint has stated no limit.
   *
   * @param endpoint the endpoint
   * @param sentMillis when the request was sent whose answer showed it
   * @param now milliseconds
   */
  public void lifted(EndpointId endpoint, long sentMillis, long now) {
    Paced paced = paced(endpoint, now);
    paced.liftedMillis = Math.max(paced.liftedMillis, sentMillis);
  }

  private Paced paced(EndpointId endpoint, long now) {
    if (now >= nextSweepMillis) {
      nextSweepMillis = now + FORGOTTEN_MILLIS;
      endpoints.values().removeIf(paced -> now - paced.usedMillis >= FORGOTTEN_MILLIS);
    }
    Paced paced = endpoints.computeIfAbsent(endpoint, unused -> new Paced());
    paced.usedMillis = now;
    return paced;
  }

  private static final class Paced {

    private final RequestPacer pacer = new RequestPacer();
    private double perSecond;
    private long statedMillis = Long.MIN_VALUE;
    private long liftedMillis = Long.MIN_VALUE;
    private long usedMillis;
  }
}

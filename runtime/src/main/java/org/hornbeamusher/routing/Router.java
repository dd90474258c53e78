package org.hornbeamusher.routing;

import java.util.Comparator;
import java.util.HashMap;
import java.util.Map;
import org.hornbeamusher.failure.FailureType;
import org.hornbeamusher.ids.AdapterRef;
import org.hornbeamusher.ids.AvailabilityZone;
import org.hornbeamusher.ids.EndpointId;
import org.hornbeamusher.ids.PoolName;

/**
 * Chooses an endpoint for each attempt. Not safe for use by several threads at once.
 *
 * <p>This first form sends to the endpoint with the least outstanding work of this entry.
 */
public final class Router {

  private static final long RETRY_AFTER_MILLIS = 1_000;

  private final AvailabilityZone ownZone;
  private final Map<EndpointId, State> endpoints = new HashMap<>();

  /**
   * Creates a router that knows no endpoint.
   *
   * @param ownZone the availability zone of this entry
   */
  public Router(AvailabilityZone ownZone) {
    this.ownZone = ownZone;
  }

  /**
   * Adds an endpoint that takes work, or one that takes work again.
   *
   * @param id the endpoint
   * @param zone where it is
   * @param pool what it belongs to
   * @param now milliseconds
   */
  public void endpointJoined(
      EndpointId id, AvailabilityZone zone, PoolName pool, @SuppressWarnings("unused") long now) {
    endpoints.put(id, new State(zone, pool));
  }

  /**
   * Takes an endpoint out: it is leaving, or its connection is lost.
   *
   * @param id the endpoint
   * @param now milliseconds
   */
  public void endpointLeft(EndpointId id, @SuppressWarnings("unused") long now) {
    endpoints.remove(id);
  }

  /**
   * Takes in a report.
   *
   * @param id the endpoint
   * @param load what it said
   * @param now milliseconds
   */
  public void loadReported(EndpointId id, EndpointLoad load, @SuppressWarnings("unused") long now) {
    State state = endpoints.get(id);
    if (state != null) {
      state.load = load;
    }
  }

  /**
   * Chooses.
   *
   * @param request what is to be sent
   * @param now milliseconds
   * @return where it goes
   */
  public RouteDecision route(RouteRequest request, @SuppressWarnings("unused") long now) {
    return endpoints.entrySet().stream()
        .filter(e -> e.getValue().pool.equals(request.pool()))
        .filter(e -> !request.excluded().contains(e.getKey()))
        .min(
            Comparator.<Map.Entry<EndpointId, State>>comparingInt(e -> e.getValue().outstanding)
                .thenComparing(e -> !e.getValue().zone.equals(ownZone))
                .thenComparing(Map.Entry::getKey))
        .<RouteDecision>map(e -> new RouteDecision.SendTo(e.getKey(), 0))
        .orElse(new RouteDecision.Refuse(FailureType.NO_ENDPOINT, RETRY_AFTER_MILLIS));
  }

  /**
   * Records that an attempt was sent.
   *
   * @param id where
   * @param adapter what it runs on, or null for a plain service
   * @param now milliseconds
   */
  public void attemptStarted(
      EndpointId id, AdapterRef adapter, @SuppressWarnings("unused") long now) {
    State state = endpoints.get(id);
    if (state != null) {
      state.outstanding++;
    }
  }

  /**
   * Records that an attempt ended.
   *
   * @param id where it ran
   * @param adapter what it ran on, or null for a plain service
   * @param result how it ended
   * @param now milliseconds
   */
  public void attemptEnded(
      EndpointId id,
      AdapterRef adapter,
      AttemptResult result,
      @SuppressWarnings("unused") long now) {
    State state = endpoints.get(id);
    if (state != null && state.outstanding > 0) {
      state.outstanding--;
    }
  }

  private static final class State {
    final AvailabilityZone zone;
    final PoolName pool;
    int outstanding;
    EndpointLoad load;

    State(AvailabilityZone zone, PoolName pool) {
      this.zone = zone;
      this.pool = pool;
    }
  }
}

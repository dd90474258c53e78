package org.hornbeamusher.routing;

import java.util.ArrayList;
import java.util.List;

/**
 * What routing knows of one adapter and version: its preference order, its homes and its demand.
 *
 * <p>The order is computed once for each membership epoch, so that routing does not scan the pool.
 */
final class AdapterHomes {

  /** A burst of a second is seen; a single request has gone after half a minute. */
  private static final double DEMAND_MILLIS = 10_000;

  private static final EndpointState[] NONE = {};

  private final long hash;

  /** Sorted by preference, so that all entries agree on which home is the first. */
  private final List<Home> homes = new ArrayList<>(1);

  private final DecayedRate demand = new DecayedRate(DEMAND_MILLIS);
  private EndpointState[] order = NONE;
  private long orderEpoch;

  AdapterHomes(long hash) {
    this.hash = hash;
  }

  /** The first endpoints of the preference order; drops homes that have left on the way. */
  EndpointState[] order(EndpointPool pool, int length) {
    if (orderEpoch != pool.epoch) {
      homes.removeIf(home -> home.endpoint.left);
      order = first(pool.endpoints, Math.min(length, pool.size()));
      orderEpoch = pool.epoch;
    }
    return order;
  }

  /**
   * Keeps the {@code length} best in a sorted array; linear in the pool, which is rarely needed.
   */
  private EndpointState[] first(List<EndpointState> all, int length) {
    EndpointState[] best = new EndpointState[length];
    long[] weights = new long[length];
    int filled = 0;
    for (EndpointState endpoint : all) {
      long weight = RendezvousHash.weight(hash, endpoint.hash);
      int at = filled;
      while (at > 0 && Long.compareUnsigned(weights[at - 1], weight) < 0) {
        at--;
      }
      if (at < length) {
        int moved = Math.min(filled, length - 1) - at;
        System.arraycopy(best, at, best, at + 1, moved);
        System.arraycopy(weights, at, weights, at + 1, moved);
        best[at] = endpoint;
        weights[at] = weight;
        filled = Math.min(length, filled + 1);
      }
    }
    return best;
  }

  List<Home> homes() {
    return homes;
  }

  Home home(EndpointState endpoint) {
    for (int i = 0; i < homes.size(); i++) {
      if (homes.get(i).endpoint == endpoint) {
        return homes.get(i);
      }
    }
    return null;
  }

  double demandPerSecond(long now) {
    return demand.perSecond(now);
  }

  void started(EndpointState endpoint, long now) {
    demand.add(now);
    Home home = homeOrNew(endpoint);
    if (!home.resident && home.outstanding == 0) {
      home.pendingSince = now;
      home.pendingMillis = endpoint.loadWaitMillis;
    }
    home.outstanding++;
  }

  void ended(EndpointState endpoint) {
    Home home = home(endpoint);
    if (home != null) {
      home.outstanding = Math.max(0, home.outstanding - 1);
      dropUseless(home);
    }
  }

  void resident(EndpointState endpoint) {
    homeOrNew(endpoint).resident = true;
  }

  void evicted(EndpointState endpoint) {
    Home home = home(endpoint);
    if (home != null) {
      home.resident = false;
      dropUseless(home);
    }
  }

  boolean idle(long now, long idleMillis) {
    return homes.isEmpty() && now - demand.lastMillis() > idleMillis;
  }

  private Home homeOrNew(EndpointState endpoint) {
    Home known = home(endpoint);
    if (known == null) {
      known = new Home(endpoint);
      homes.add(place(endpoint), known);
    }
    return known;
  }

  private int place(EndpointState endpoint) {
    long weight = RendezvousHash.weight(hash, endpoint.hash);
    int at = homes.size();
    while (at > 0 && Long.compareUnsigned(weight(homes.get(at - 1)), weight) < 0) {
      at--;
    }
    return at;
  }

  private long weight(Home home) {
    return RendezvousHash.weight(hash, home.endpoint.hash);
  }

  private void dropUseless(Home home) {
    if (!home.useful()) {
      homes.remove(home);
    }
  }
}

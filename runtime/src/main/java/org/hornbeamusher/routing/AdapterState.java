package org.hornbeamusher.routing;

import java.util.ArrayList;
import java.util.List;

/**
 * Routing state of one adapter version: its endpoints in order of preference, its replicas and its
 * request rate.
 *
 * <p>The order is computed once per membership epoch, so that routing does not scan the pool for
 * each request.
 */
final class AdapterState {

  /**
   * Time constant of the request rate: short enough to reflect a burst of one second, while a
   * single request has decayed after half a minute.
   */
  private static final double DEMAND_TIME_CONSTANT_MILLIS = 10_000;

  private static final EndpointState[] NO_ENDPOINTS = {};

  private final long hash;

  /** Sorted by preference, so that all entries agree on which replica is the first. */
  private final List<AdapterReplica> replicas = new ArrayList<>(1);

  private final DecayedRate demand = new DecayedRate(DEMAND_TIME_CONSTANT_MILLIS);
  private EndpointState[] order = NO_ENDPOINTS;
  private long orderEpoch;

  AdapterState(long hash) {
    this.hash = hash;
  }

  /**
   * Returns the first endpoints of the preference order. Recomputing it also removes replicas on
   * endpoints that have left.
   */
  EndpointState[] preferredEndpoints(EndpointPool pool, int length) {
    if (orderEpoch != pool.epoch) {
      replicas.removeIf(replica -> replica.endpoint.left);
      order = selectPreferred(pool.endpoints, Math.min(length, pool.size()));
      orderEpoch = pool.epoch;
    }
    return order;
  }

  /**
   * Selects the {@code length} endpoints of highest weight by insertion into a sorted array. The
   * time is linear in the size of the pool, but this is rarely needed.
   */
  private EndpointState[] selectPreferred(List<EndpointState> endpoints, int length) {
    EndpointState[] best = new EndpointState[length];
    long[] weights = new long[length];
    int filled = 0;
    for (EndpointState endpoint : endpoints) {
      long weight = RendezvousHash.weight(hash, endpoint.hash);
      int index = filled;
      while (index > 0 && Long.compareUnsigned(weights[index - 1], weight) < 0) {
        index--;
      }
      if (index < length) {
        int shiftCount = Math.min(filled, length - 1) - index;
        System.arraycopy(best, index, best, index + 1, shiftCount);
        System.arraycopy(weights, index, weights, index + 1, shiftCount);
        best[index] = endpoint;
        weights[index] = weight;
        filled = Math.min(length, filled + 1);
      }
    }
    return best;
  }

  List<AdapterReplica> replicas() {
    return replicas;
  }

  AdapterReplica replicaAt(EndpointState endpoint) {
    for (int i = 0; i < replicas.size(); i++) {
      if (replicas.get(i).endpoint == endpoint) {
        return replicas.get(i);
      }
    }
    return null;
  }

  double demandPerSecond(long now) {
    return demand.perSecond(now);
  }

  void attemptStarted(EndpointState endpoint, long now) {
    demand.add(now);
    AdapterReplica replica = findOrAddReplica(endpoint);
    if (!replica.resident && replica.outstanding == 0) {
      replica.loadStartMillis = now;
      replica.expectedLoadMillis = endpoint.loadWaitMillis;
    }
    replica.outstanding++;
  }

  void attemptEnded(EndpointState endpoint) {
    AdapterReplica replica = replicaAt(endpoint);
    if (replica != null) {
      replica.outstanding = Math.max(0, replica.outstanding - 1);
      removeIfUnused(replica);
    }
  }

  void markResident(EndpointState endpoint) {
    findOrAddReplica(endpoint).resident = true;
  }

  void markEvicted(EndpointState endpoint) {
    AdapterReplica replica = replicaAt(endpoint);
    if (replica != null) {
      replica.resident = false;
      removeIfUnused(replica);
    }
  }

  boolean isIdle(long now, long idleMillis) {
    return replicas.isEmpty() && now - demand.lastUpdateMillis() > idleMillis;
  }

  private AdapterReplica findOrAddReplica(EndpointState endpoint) {
    AdapterReplica replica = replicaAt(endpoint);
    if (replica == null) {
      replica = new AdapterReplica(endpoint);
      replicas.add(insertionIndex(endpoint), replica);
    }
    return replica;
  }

  private int insertionIndex(EndpointState endpoint) {
    long weight = RendezvousHash.weight(hash, endpoint.hash);
    int index = replicas.size();
    while (index > 0 && Long.compareUnsigned(weight(replicas.get(index - 1)), weight) < 0) {
      index--;
    }
    return index;
  }

  private long weight(AdapterReplica replica) {
    return RendezvousHash.weight(hash, replica.endpoint.hash);
  }

  private void removeIfUnused(AdapterReplica replica) {
    if (!replica.isUsed()) {
      replicas.remove(replica);
    }
  }
}

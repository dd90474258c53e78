package org.hornbeamusher.routing;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.hornbeamusher.ids.AdapterRef;

/** The live endpoints of one pool and the routing state of its adapters. */
final class EndpointPool {

  /**
   * Number of adapters with routing state from which the state of those without replicas and recent
   * requests is removed.
   */
  private static final int ADAPTER_SWEEP_THRESHOLD = 50_000;

  private static final long ADAPTER_IDLE_MILLIS = 600_000;
  private static final long MINIMUM_MEDIAN_INTERVAL = 16;
  private static final double SERVICE_TIME_SAMPLE_WEIGHT = 0.02;
  private static final long INITIAL_SERVICE_MILLIS = 1_000;

  /** Live endpoints, in no particular order; never contains one that has left. */
  final List<EndpointState> endpoints = new ArrayList<>();

  /** Incremented with every change of {@link #endpoints}; invalidates cached orders. */
  long epoch = 1;

  /** Number of {@link #endpoints} that are ejected. */
  int ejectedCount;

  /** Exponentially weighted mean time that an attempt occupies a batch slot. */
  double serviceMillis = INITIAL_SERVICE_MILLIS;

  private final Map<AdapterRef, AdapterState> adapters = new HashMap<>();
  private double median;
  private long callsSinceMedian = MINIMUM_MEDIAN_INTERVAL;

  int size() {
    return endpoints.size();
  }

  void add(EndpointState endpoint) {
    endpoints.add(endpoint);
    epoch++;
  }

  void remove(EndpointState endpoint) {
    endpoint.left = true;
    endpoints.remove(endpoint);
    epoch++;
    if (endpoint.health.isEjected()) {
      ejectedCount--;
    }
  }

  AdapterState adapterState(AdapterRef adapter, long now) {
    AdapterState state = adapters.get(adapter);
    if (state == null) {
      if (adapters.size() >= ADAPTER_SWEEP_THRESHOLD) {
        adapters.values().removeIf(adapterState -> adapterState.isIdle(now, ADAPTER_IDLE_MILLIS));
      }
      state = new AdapterState(RendezvousHash.hash(adapter.toString()));
      adapters.put(adapter, state);
    }
    return state;
  }

  /** Updates the residency index from an endpoint's previous report to its new one. */
  void updateResidency(EndpointState endpoint, Set<AdapterRef> reported, long now) {
    for (AdapterRef adapter : endpoint.resident) {
      if (!reported.contains(adapter)) {
        adapterState(adapter, now).markEvicted(endpoint);
      }
    }
    for (AdapterRef adapter : reported) {
      adapterState(adapter, now).markResident(endpoint);
    }
    endpoint.resident = reported;
  }

  void recordServiceTime(long millis) {
    serviceMillis += SERVICE_TIME_SAMPLE_WEIGHT * (millis - serviceMillis);
  }

  /**
   * Returns the median slowness of the pool. It changes slowly and needs sorting, so it is
   * recomputed only once per as many calls as there are endpoints, but at least 16 calls.
   */
  double medianSlowness() {
    if (++callsSinceMedian > Math.max(MINIMUM_MEDIAN_INTERVAL, endpoints.size())) {
      callsSinceMedian = 0;
      double[] sorted =
          endpoints.stream()
              .filter(e -> e.health.samples >= EndpointSpeed.MINIMUM_SAMPLES)
              .mapToDouble(e -> e.health.slowness)
              .toArray();
      Arrays.sort(sorted);
      median = sorted.length == 0 ? 0 : sorted[(sorted.length - 1) / 2];
    }
    return median;
  }
}

package org.hornbeamusher.routing;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.hornbeamusher.ids.AdapterRef;

/** The live endpoints of one pool and what is known of its adapters. */
final class EndpointPool {

  /** Adapters known before those without homes and demand are dropped. */
  private static final int ADAPTERS_BEFORE_SWEEP = 50_000;

  private static final long IDLE_MILLIS = 600_000;
  private static final long MEDIAN_EVERY = 16;
  private static final double SERVICE_SAMPLE_WEIGHT = 0.02;
  private static final long FIRST_SERVICE_MILLIS = 1_000;

  /** Live endpoints, in no order. Never one that has left. */
  final List<EndpointState> endpoints = new ArrayList<>();

  /** Counts changes of {@link #endpoints}; a memoised order with another epoch is out of date. */
  long epoch = 1;

  /** How many of {@link #endpoints} are ejected. */
  int ejected;

  /** Decayed mean time that an attempt occupies a place in a batch. */
  double serviceMillis = FIRST_SERVICE_MILLIS;

  private final Map<AdapterRef, AdapterHomes> adapters = new HashMap<>();
  private double median;
  private long samplesSinceMedian = MEDIAN_EVERY;

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
    if (endpoint.speed.ejected()) {
      ejected--;
    }
  }

  AdapterHomes homes(AdapterRef adapter, long now) {
    AdapterHomes known = adapters.get(adapter);
    if (known == null) {
      if (adapters.size() >= ADAPTERS_BEFORE_SWEEP) {
        adapters.values().removeIf(homes -> homes.idle(now, IDLE_MILLIS));
      }
      known = new AdapterHomes(RendezvousHash.hash(adapter.toString()));
      adapters.put(adapter, known);
    }
    return known;
  }

  /** Moves the residency index from an endpoint's earlier report to its new one. */
  void residency(EndpointState endpoint, Set<AdapterRef> now, long millis) {
    for (AdapterRef adapter : endpoint.resident) {
      if (!now.contains(adapter)) {
        homes(adapter, millis).evicted(endpoint);
      }
    }
    for (AdapterRef adapter : now) {
      homes(adapter, millis).resident(endpoint);
    }
    endpoint.resident = now;
  }

  void served(long millis) {
    serviceMillis += SERVICE_SAMPLE_WEIGHT * (millis - serviceMillis);
  }

  /** The middle slowness; sorted anew only once in a while, because it moves slowly. */
  double medianSlowness() {
    if (++samplesSinceMedian > Math.max(MEDIAN_EVERY, endpoints.size())) {
      samplesSinceMedian = 0;
      double[] sorted =
          endpoints.stream()
              .filter(e -> e.speed.samples >= Speed.LEAST_SAMPLES)
              .mapToDouble(e -> e.speed.slowness)
              .toArray();
      Arrays.sort(sorted);
      median = sorted.length == 0 ? 0 : sorted[(sorted.length - 1) / 2];
    }
    return median;
  }
}

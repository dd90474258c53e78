package org.hornbeamusher.placement;

import java.util.Arrays;
import org.hornbeamusher.routes.AdapterKey;
import org.hornbeamusher.routing.RendezvousHash;

/**
 * The order in which the endpoints of a service are preferred for an adapter, by rendezvous
 * hashing.
 *
 * <p>Each endpoint has a weight for the adapter, and the heaviest comes first. The weights are
 * sorted once per request. Counting for every endpoint how many are heavier would take quadratic
 * time: two million comparisons at 1,400 endpoints.
 */
final class PreferenceOrder {

  private final long key;

  /** Ascending; the sign bit is flipped, so that signed comparison gives the unsigned order. */
  private final long[] weights;

  PreferenceOrder(AdapterKey adapter, long[] hashes) {
    key = RendezvousHash.hash(adapter.toString());
    weights = new long[hashes.length];
    for (int i = 0; i < hashes.length; i++) {
      weights[i] = weight(hashes[i]);
    }
    Arrays.sort(weights);
  }

  private long weight(long hash) {
    return RendezvousHash.weight(key, hash) ^ Long.MIN_VALUE;
  }

  /** Returns how many endpoints are preferred to the given one. */
  int position(EndpointView view) {
    return position(view.hash());
  }

  int position(long hash) {
    return weights.length - 1 - Arrays.binarySearch(weights, weight(hash));
  }
}

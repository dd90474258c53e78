package org.hornbeamusher.placement;

import java.util.Arrays;
import org.hornbeamusher.routes.AdapterKey;
import org.hornbeamusher.routing.Rendezvous;

/**
 * The order in which the endpoints of a service come for an adapter, by rendezvous hashing.
 *
 * <p>Each endpoint has a weight for the adapter, and the heaviest comes first. All weights are
 * sorted once a request: counting, for every endpoint, how many are heavier takes the square of
 * their number, which is two million at 1,400 endpoints.
 */
final class Preference {

  private final long key;

  /** Ascending; with the sign turned, so that the order of signed numbers is the unsigned one. */
  private final long[] weights;

  Preference(AdapterKey adapter, long[] hashes) {
    key = Rendezvous.hash(adapter.toString());
    weights = new long[hashes.length];
    for (int i = 0; i < hashes.length; i++) {
      weights[i] = weight(hashes[i]);
    }
    Arrays.sort(weights);
  }

  private long weight(long hash) {
    return Rendezvous.weight(key, hash) ^ Long.MIN_VALUE;
  }

  /** Returns how many endpoints come before one of them. */
  int position(EndpointView view) {
    return position(view.hash());
  }

  int position(long hash) {
    return weights.length - 1 - Arrays.binarySearch(weights, weight(hash));
  }
}

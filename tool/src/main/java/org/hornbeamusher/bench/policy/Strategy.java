package org.hornbeamusher.bench.policy;

import org.hornbeamusher.routing.RoutingSettings;

/** Strategy by which a policy variant chooses an endpoint. */
sealed interface Strategy {

  /** A uniformly random endpoint. */
  record Random() implements Strategy {}

  /** The endpoint with the fewest requests: its last report plus this entry's dispatches since. */
  record LeastLoaded() implements Strategy {}

  /** The first endpoint in the adapter's rendezvous-hash order, regardless of load. */
  record PlainRendezvous() implements Strategy {}

  /**
   * The product's router.
   *
   * @param settings parameters and feature switches of the router
   */
  record ProductRouter(RoutingSettings settings) implements Strategy {}
}

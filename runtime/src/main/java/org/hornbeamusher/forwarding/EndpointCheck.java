package org.hornbeamusher.forwarding;

import java.util.concurrent.CompletableFuture;
import org.hornbeamusher.placement.EndpointView;

/** Checks whether an incarnation of an endpoint still runs. */
interface EndpointCheck {

  /** The result of a check. */
  enum Result {
    /** The incarnation has responded. */
    ALIVE,
    /** Its port is closed, or another endpoint has responded at its address. */
    ENDED,
    /** Neither is shown. */
    UNKNOWN
  }

  /**
   * Checks an endpoint.
   *
   * @param endpoint the endpoint
   * @return completes with the result; never fails
   */
  CompletableFuture<Result> check(EndpointView endpoint);
}

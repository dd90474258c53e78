package org.hornbeamusher.placement;

/** Where a request is to run. */
public sealed interface Placement {

  /**
   * At an endpoint.
   *
   * @param endpoint which one
   * @param present whether it can start there now; otherwise its adapter is to be loaded first
   * @param estimateMillis until its first event
   * @param stallMillis how much of that is the load
   */
  record At(EndpointView endpoint, boolean present, long estimateMillis, long stallMillis)
      implements Placement {

    /**
     * Tells whether nothing has to be waited for but the load itself.
     *
     * @return false when a place for the adapter has to become free first
     */
    public boolean placeFree() {
      return present || endpoint.sparePlaces() > 0;
    }
  }

  /**
   * Nowhere.
   *
   * @param reason what is missing
   */
  record Nowhere(Reason reason) implements Placement {}

  /** Why no endpoint can take a request. */
  enum Reason {
    /** No endpoint of the service is in service. */
    NO_ENDPOINT,
    /** Every endpoint has been tried. */
    ALL_TRIED
  }
}

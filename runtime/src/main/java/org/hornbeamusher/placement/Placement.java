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
   * @param placeFree whether a load could begin now: the base model is there, and a place is free
   * @param rateWaitMillis how much of the estimate is the wait for a permit, where the endpoint
   *     limits the rate of its requests and the limit is used up
   */
  record At(
      EndpointView endpoint,
      boolean present,
      long estimateMillis,
      long stallMillis,
      boolean placeFree,
      long rateWaitMillis)
      implements Placement {

    /**
     * How long a load takes from its order to its grant, with two others before it. What entries
     * know of an agent's free places is a tenth of a second old; a request that left its line
     * earlier would chase places that others have taken by then.
     */
    private static final long LOAD_MILLIS = 450;

    /**
     * Tells whether a request that waits for a load elsewhere should come here.
     *
     * @param waitedMillis how long it has waited there
     * @return true when it could start here at once, or when the other load is overdue and nothing
     *     but a load has to be waited for here
     */
    public boolean worthLeavingFor(long waitedMillis) {
      return present || (waitedMillis >= LOAD_MILLIS && placeFree);
    }
  }

  /**
   * Nowhere.
   *
   * @param reason what is missing
   * @param waitMillis until the first endpoint takes requests again; 0 where that is not known
   */
  record Nowhere(Reason reason, long waitMillis) implements Placement {

    Nowhere(Reason reason) {
      this(reason, 0);
    }
  }

  /** Why no endpoint can take a request. */
  enum Reason {
    /** No endpoint of the service is in service. */
    NO_ENDPOINT,
    /** Every endpoint has been tried. */
    ALL_TRIED,
    /** Every endpoint wants no requests of this entry for a while. */
    ALL_BACK_OFF
  }
}

package org.hornbeamusher.placement;

/** The result of placing a request: the endpoint at which it is to run, or why there is none. */
public sealed interface Placement {

  /**
   * The request is assigned to an endpoint.
   *
   * @param endpoint the endpoint
   * @param canStartNow whether the request can start there now; otherwise its adapter must be
   *     loaded first
   * @param estimateMillis estimated time until its first event
   * @param stallMillis the part of the estimate that is spent loading the adapter
   * @param canLoadNow whether a load could begin now: the base model is in memory and an adapter
   *     slot is free
   * @param rateWaitMillis the part of the estimate that is spent waiting for a permit, if the
   *     endpoint has a rate limit and it is used up
   */
  record Assigned(
      EndpointView endpoint,
      boolean canStartNow,
      long estimateMillis,
      long stallMillis,
      boolean canLoadNow,
      long rateWaitMillis)
      implements Placement {

    /**
     * The time from ordering a load until the slot is granted, with two loads queued before it. An
     * entry's knowledge of free adapter slots is 100 ms old; a request that left its queue earlier
     * would move to slots that other requests have taken by then.
     */
    public static final long OVERDUE_LOAD_MILLIS = 450;

    /** Variation of the time of a load, beyond its estimate. */
    private static final long LOAD_MARGIN_MILLIS = 100;

    /**
     * Returns whether a request that waits for a load at another endpoint should move to this one.
     * While the weight store is congested, loads wait at every engine; a load that has not begun
     * there would begin no sooner here, and its adapter would be loaded twice.
     *
     * @param waitedMillis how long it has waited there
     * @param overdueMillis after what time its load there is overdue if the store is not congested
     * @param loadMillis how long a load takes there, including its wait for the weight store
     * @return true when it could start here at once, or when the other load is overdue and a load
     *     could begin here at once
     */
    public boolean justifiesMove(long waitedMillis, long overdueMillis, long loadMillis) {
      long congestedMillis = loadMillis + LOAD_MARGIN_MILLIS;
      long dueMillis =
          congestedMillis > OVERDUE_LOAD_MILLIS
              ? Math.max(overdueMillis, congestedMillis)
              : overdueMillis;
      return canStartNow || (waitedMillis >= dueMillis && canLoadNow);
    }
  }

  /**
   * No endpoint can take the request.
   *
   * @param reason why
   * @param waitMillis until the first endpoint accepts requests again; 0 if that is not known
   */
  record Unplaceable(Reason reason, long waitMillis) implements Placement {

    Unplaceable(Reason reason) {
      this(reason, 0);
    }
  }

  /** Why no endpoint can take a request. */
  enum Reason {
    /** No endpoint of the service is in service. */
    NO_ENDPOINT,
    /** Every usable endpoint of the service has been tried. */
    ALL_TRIED,
    /** Every usable endpoint has asked this entry to back off. */
    ALL_BACK_OFF
  }
}

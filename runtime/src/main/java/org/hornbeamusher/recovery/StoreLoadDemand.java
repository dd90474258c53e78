package org.hornbeamusher.recovery;

/**
 * What an agent wants to load from the weight store.
 *
 * @param adapters how many adapters could be loaded at once if there were permits
 * @param onTimeRequests the requests for the first of these adapters that can still meet their
 *     target time; 0 if all are late
 */
public record StoreLoadDemand(int adapters, int onTimeRequests) {

  /** No adapter is wanted. */
  public static final StoreLoadDemand NONE = new StoreLoadDemand(0, 0);
}

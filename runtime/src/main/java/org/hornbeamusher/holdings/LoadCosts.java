package org.hornbeamusher.holdings;

/**
 * An agent's estimate of what it costs to load an adapter on its engine. Entries use it to place
 * requests.
 *
 * @param storeLoadMillis duration of a load from the weight store
 * @param cachedLoadMillis duration of a load of an adapter that the engine still has cached
 * @param slotWaitMillis how long the next adapter waits for a slot when none is free
 * @param cachedAdapters number of unloaded adapters that the engine still has cached
 */
public record LoadCosts(
    long storeLoadMillis, long cachedLoadMillis, long slotWaitMillis, int cachedAdapters) {

  /** A load from the weight store; the engines' data sheets state 250 to 290 ms. */
  private static final long STORE_LOAD_MILLIS = 250;

  /** A load from the engine's cache; a tenth of a load from the store, by the platform's pages. */
  private static final long CACHED_LOAD_MILLIS = 25;

  /** Mean time that an adapter is in use, and occupies its slot, without interruption. */
  private static final long USE_MILLIS = 1_750;

  /** Number of unloaded adapters that an engine caches, per adapter slot. */
  private static final int CACHED_ADAPTERS_PER_SLOT = 6;

  /**
   * Returns the estimate used before the first load.
   *
   * @param slots the engine's adapter slots
   * @return the costs
   */
  public static LoadCosts initialEstimate(int slots) {
    int atLeastOne = Math.max(1, slots);
    return new LoadCosts(
        STORE_LOAD_MILLIS,
        CACHED_LOAD_MILLIS,
        USE_MILLIS / atLeastOne,
        CACHED_ADAPTERS_PER_SLOT * atLeastOne);
  }

  /**
   * Returns these costs for a load that has to wait before it begins.
   *
   * @param waitMillis how long a load from the weight store waits
   * @return the costs with the wait
   */
  LoadCosts withStoreWait(long waitMillis) {
    return waitMillis == 0
        ? this
        : new LoadCosts(
            storeLoadMillis + waitMillis, cachedLoadMillis, slotWaitMillis, cachedAdapters);
  }
}

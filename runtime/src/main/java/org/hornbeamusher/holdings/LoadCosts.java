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
  private static final long STORE_MILLIS = 250;

  /** A load from the engine's cache; a tenth of a load from the store, by the platform's pages. */
  private static final long COPY_MILLIS = 25;

  /** Mean time that an adapter is in use, and occupies its slot, without interruption. */
  private static final long USE_MILLIS = 1_750;

  /** Cached adapters per slot, as measured on the first engines. */
  private static final int COPIES_A_PLACE = 6;

  /**
   * Returns the estimate used before the first load.
   *
   * @param slots the engine's adapter slots
   * @return the costs
   */
  public static LoadCosts initialEstimate(int slots) {
    int atLeastOne = Math.max(1, slots);
    return new LoadCosts(
        STORE_MILLIS, COPY_MILLIS, USE_MILLIS / atLeastOne, COPIES_A_PLACE * atLeastOne);
  }
}

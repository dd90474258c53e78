package org.hornbeamusher.holdings;

/**
 * What an agent believes that having an adapter at its engine costs. Entries place by it.
 *
 * @param storeMillis how long a load from the weight store takes
 * @param copyMillis how long a load takes of which the engine still has a copy
 * @param placeMillis how long the next adapter that finds no place free waits for one
 * @param copies how many adapters that have left its places the engine still has copies of
 */
public record LoadCosts(long storeMillis, long copyMillis, long placeMillis, int copies) {

  /** From the weight store; the engines' data sheets say 250 to 290 ms. */
  private static final long STORE_MILLIS = 250;

  /** A tenth of that, by the platform's pages. */
  private static final long COPY_MILLIS = 25;

  /** How long an adapter was in use at a time, on average over the first days that were seen. */
  private static final long USE_MILLIS = 1_750;

  /** Copies for each place, as seen on the first engines. */
  private static final int COPIES_A_PLACE = 6;

  /**
   * Returns what is believed before the first load.
   *
   * @param places adapters that the engine holds at once
   * @return the costs
   */
  public static LoadCosts prior(int places) {
    int atLeastOne = Math.max(1, places);
    return new LoadCosts(
        STORE_MILLIS, COPY_MILLIS, USE_MILLIS / atLeastOne, COPIES_A_PLACE * atLeastOne);
  }
}

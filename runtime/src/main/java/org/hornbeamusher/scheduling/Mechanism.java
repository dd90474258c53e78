package org.hornbeamusher.scheduling;

/**
 * Parts of the scheduler that can be switched off, so that a measurement shows what each brings.
 */
public enum Mechanism {
  /** Batch places go by weighted shares; without it by arrival. */
  FAIR_SHARES,
  /**
   * A class below its whole places goes before all others; without it only shares of work count.
   */
  GUARANTEED_PLACES,
  /** Within one caller short requests overtake long ones, within a bound. */
  SHORT_FIRST,
  /** Some batch places are closed to requests much longer than usual. */
  LONG_LIMIT,
  /** Requests that cannot finish in time are refused at once; without it when they expire. */
  EARLY_REFUSAL,
  /** A full queue drops work of whoever holds most of it; without it the newcomer. */
  DISPLACEMENT,
  /** Loads go by waiting demand and the services' weights; without it by arrival. */
  WEIGHTED_LOADS,
  /** Waiting raises an adapter's place in the load order. */
  LOAD_AGEING,
  /** Eviction goes by decayed frequency; without it by last use. */
  FREQUENCY_EVICTION,
  /** A loaded adapter is kept for a minimum time. */
  MINIMUM_STAY,
  /** A busy adapter makes room once a request was overtaken for long enough. */
  DRAINING
}

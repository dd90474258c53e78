package org.hornbeamusher.scheduling;

/**
 * Features of the scheduler that can be switched off, so that the effect of each can be measured.
 */
public enum SchedulerFeature {
  /** Batch slots are assigned by weighted shares; without it in order of arrival. */
  FAIR_SHARES,
  /**
   * A class that runs fewer requests than its guaranteed whole batch slots goes before all others;
   * without it only shares of work count.
   */
  GUARANTEED_PLACES,
  /** Within one caller, short requests overtake long ones, up to a limit. */
  SHORT_FIRST,
  /** Some batch slots are closed to requests that are much longer than usual. */
  LONG_LIMIT,
  /** Requests that cannot meet their deadline are refused at once; without it when they expire. */
  EARLY_REFUSAL,
  /**
   * A full queue drops a request of the class with the most queued requests relative to its weight;
   * without it the new request.
   */
  DISPLACEMENT,
  /**
   * Loads are ordered by waiting demand and the weights of the services; without it in order of
   * arrival.
   */
  WEIGHTED_LOADS,
  /** The demand for an adapter increases with the waiting time of its requests. */
  LOAD_AGEING,
  /** Eviction is by decayed request frequency; without it least recently used first. */
  FREQUENCY_EVICTION,
  /** A loaded adapter stays resident for a minimum time. */
  MINIMUM_STAY,
  /** A busy adapter is drained and evicted once a request has waited long enough for a slot. */
  DRAINING
}

package org.hornbeamusher.standin;

import java.util.Map;

/**
 * What an engine stand-in counted since it was created; restarts do not reset it.
 *
 * @param runs requests started, by adapter as written
 * @param runsByKey requests started, by idempotency key (requests that carry one)
 * @param unloadsInUse unload orders for an adapter that was serving a request
 * @param notResident requests refused because their adapter was not resident
 * @param loads loads that ended well
 * @param loadFailures loads that failed
 * @param staleOrders orders refused for their fencing number
 * @param tokens tokens generated
 * @param steps steps with at least one request in the batch
 * @param batchSum requests in the batch, summed over those steps
 * @param restarts crashes and restarts
 * @param cancels requests ended by their caller
 */
public record EngineCounts(
    Map<String, Long> runs,
    Map<String, Long> runsByKey,
    long unloadsInUse,
    long notResident,
    long loads,
    long loadFailures,
    long staleOrders,
    long tokens,
    long steps,
    long batchSum,
    long restarts,
    long cancels) {

  /** Copies the maps. */
  public EngineCounts {
    runs = Map.copyOf(runs);
    runsByKey = Map.copyOf(runsByKey);
  }

  /**
   * Returns how often a request with an idempotency key was run again.
   *
   * @return runs beyond the first, summed over keys
   */
  public long repeatedRuns() {
    return runsByKey.values().stream().mapToLong(n -> n - 1).sum();
  }
}

package org.hornbeamusher.standin;

import java.util.Map;

/**
 * Counters of an engine stand-in since it was created; restarts do not reset them. Also their JSON
 * form.
 *
 * @param runs requests started, by adapter in its text form
 * @param runsByKey requests started, by idempotency key (requests that carry one)
 * @param unloadsInUse unload orders for an adapter that was serving a request
 * @param notResident requests refused because their adapter was not resident
 * @param loads loads that succeeded
 * @param loadFailures loads that failed
 * @param staleOrders orders refused because of a stale fencing number
 * @param tokens tokens generated
 * @param steps steps with at least one request in the batch
 * @param batchSum batch sizes summed over those steps
 * @param restarts crashes and restarts
 * @param cancels requests cancelled by their caller
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
   * Returns how often requests with an idempotency key were run more than once.
   *
   * @return runs beyond the first, summed over keys
   */
  public long repeatedRuns() {
    return runsByKey.values().stream().mapToLong(n -> n - 1).sum();
  }
}

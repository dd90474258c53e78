package org.hornbeamusher.holdings;

import org.hornbeamusher.directory.AdapterVersion;

/**
 * A request that is running at the engine, or will be sent there once its adapter is loaded.
 *
 * @param id unique among all entries
 * @param adapter adapter and version
 * @param rank the request's priority; 0 is the most urgent
 * @param pendingPromptTokens prompt tokens that are not yet processed
 * @param expiresMillis time after which the request no longer needs a slot
 * @param targetMillis target time of its first event
 * @param sinceMillis when it was made
 */
public record Reservation(
    ReservationId id,
    AdapterVersion adapter,
    int rank,
    long pendingPromptTokens,
    long expiresMillis,
    long targetMillis,
    long sinceMillis) {

  /** Returns the reservation once its prompt is processed. */
  Reservation withPromptProcessed() {
    return new Reservation(id, adapter, rank, 0, expiresMillis, targetMillis, sinceMillis);
  }
}

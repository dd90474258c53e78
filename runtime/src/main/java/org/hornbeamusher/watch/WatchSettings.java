package org.hornbeamusher.watch;

/**
 * The timing of the requests that follow a table.
 *
 * @param waitMillis how long the service holds a request while there are no changes; 0 to read all
 *     rows each time instead
 * @param pauseMillis pause between a response and the next request
 * @param retryMillis pause after a failed request
 * @param staleMillis age from which the known state is logged as stale
 */
public record WatchSettings(
    long waitMillis, long pauseMillis, long retryMillis, long staleMillis) {}

package org.hornbeamusher.standin;

/**
 * Figures of one engine stand-in.
 *
 * @param host address it listens on
 * @param port port it listens on; 0 for any free one
 * @param slots adapters it holds at once
 * @param batch requests it runs at once
 * @param tokenMicros microseconds between two tokens of a request that runs alone
 * @param batchSlowdown how much one more request in the batch lengthens that time, as a fraction
 * @param prefillTokensPerStep prompt tokens it reads in one step, over the whole batch
 * @param cacheBlocks prompt blocks its prefix cache holds
 * @param enforceFencing whether it refuses an order with an old fencing number
 * @param restartMillis how long it is away when it restarts
 * @param reportLagMillis age of what {@code /load} reports
 * @param eventDelayMillis how late a cache event is published
 * @param eventGap every event of this count is never published; 0 publishes all
 */
public record EngineSettings(
    String host,
    int port,
    int slots,
    int batch,
    long tokenMicros,
    double batchSlowdown,
    int prefillTokensPerStep,
    int cacheBlocks,
    boolean enforceFencing,
    long restartMillis,
    long reportLagMillis,
    long eventDelayMillis,
    int eventGap) {

  /**
   * Returns the figures of the demo's engines.
   *
   * @param port port to listen on; 0 for any free one
   * @param slots adapters held at once
   * @param batch requests run at once
   * @return settings with 5 ms between tokens and fencing enforced
   */
  public static EngineSettings of(int port, int slots, int batch) {
    return new EngineSettings(
        "127.0.0.1", port, slots, batch, 5_000, 0.02, 2_048, 1_024, true, 1_000, 500, 300, 7);
  }

  /**
   * Returns these figures with another speed.
   *
   * @param micros microseconds between two tokens
   * @return a copy
   */
  public EngineSettings withTokenMicros(long micros) {
    return new EngineSettings(
        host,
        port,
        slots,
        batch,
        micros,
        batchSlowdown,
        prefillTokensPerStep,
        cacheBlocks,
        enforceFencing,
        restartMillis,
        reportLagMillis,
        eventDelayMillis,
        eventGap);
  }

  /**
   * Returns these figures for an engine that does or does not look at fencing numbers.
   *
   * @param enforced whether old numbers are refused
   * @return a copy
   */
  public EngineSettings withFencing(boolean enforced) {
    return new EngineSettings(
        host,
        port,
        slots,
        batch,
        tokenMicros,
        batchSlowdown,
        prefillTokensPerStep,
        cacheBlocks,
        enforced,
        restartMillis,
        reportLagMillis,
        eventDelayMillis,
        eventGap);
  }
}

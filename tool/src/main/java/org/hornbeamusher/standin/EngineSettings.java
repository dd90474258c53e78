package org.hornbeamusher.standin;

/**
 * Settings of one engine stand-in.
 *
 * @param host address it listens on
 * @param port port it listens on; 0 for any free one
 * @param adapterCapacity number of adapters that can be resident at once
 * @param batchCapacity number of requests that can run at once
 * @param tokenMicros microseconds per token of a request that runs alone
 * @param batchSlowdown fraction of {@code tokenMicros} that each further request in the batch adds
 * @param prefillTokensPerStep prompt tokens processed per step, over the whole batch
 * @param cacheBlocks capacity of the prefix cache in blocks
 * @param enforceFencing whether orders with a stale fencing number are refused
 * @param restartMillis how long the engine is unreachable during a restart
 * @param reportLagMillis interval after which the state that {@code /load} returns is replaced; the
 *     returned state is between one and two intervals old
 * @param eventDelayMillis delay until a cache event is published
 * @param eventDropInterval every n-th cache event is dropped; 0 drops none
 */
public record EngineSettings(
    String host,
    int port,
    int adapterCapacity,
    int batchCapacity,
    long tokenMicros,
    double batchSlowdown,
    int prefillTokensPerStep,
    int cacheBlocks,
    boolean enforceFencing,
    long restartMillis,
    long reportLagMillis,
    long eventDelayMillis,
    int eventDropInterval) {

  /**
   * Returns the default settings, which the demo uses.
   *
   * @param port port to listen on; 0 for any free one
   * @param adapterCapacity number of adapters that can be resident at once
   * @param batchCapacity number of requests that can run at once
   * @return settings with 5 ms per token and fencing enforced
   */
  public static EngineSettings of(int port, int adapterCapacity, int batchCapacity) {
    return new EngineSettings(
        "127.0.0.1",
        port,
        adapterCapacity,
        batchCapacity,
        5_000,
        0.02,
        2_048,
        1_024,
        true,
        1_000,
        500,
        300,
        7);
  }

  /**
   * Returns these settings with another token time.
   *
   * @param micros microseconds per token
   * @return a copy
   */
  public EngineSettings withTokenMicros(long micros) {
    return new EngineSettings(
        host,
        port,
        adapterCapacity,
        batchCapacity,
        micros,
        batchSlowdown,
        prefillTokensPerStep,
        cacheBlocks,
        enforceFencing,
        restartMillis,
        reportLagMillis,
        eventDelayMillis,
        eventDropInterval);
  }

  /**
   * Returns these settings with the check of fencing numbers switched on or off.
   *
   * @param enforced whether stale fencing numbers are refused
   * @return a copy
   */
  public EngineSettings withFencing(boolean enforced) {
    return new EngineSettings(
        host,
        port,
        adapterCapacity,
        batchCapacity,
        tokenMicros,
        batchSlowdown,
        prefillTokensPerStep,
        cacheBlocks,
        enforced,
        restartMillis,
        reportLagMillis,
        eventDelayMillis,
        eventDropInterval);
  }
}

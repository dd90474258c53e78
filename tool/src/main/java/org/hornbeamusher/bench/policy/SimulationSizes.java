package org.hornbeamusher.bench.policy;

/** Sizes and speeds of the simulated deployment, from the users' pages where these give one. */
final class SimulationSizes {

  static final int ENTRIES = 3;
  static final int ZONES = 3;
  static final int WORKERS = 6;
  static final int ADAPTERS = 3_000;
  static final int CALLERS = 4;

  /** The users' pages say "a few adapter slots". */
  static final int ADAPTER_SLOTS = 8;

  static final int BATCH = 8;

  /** Time of a load at full speed, one at a time: two loads per second. */
  static final long LOAD_MILLIS = 500;

  /** Total throughput of several concurrent loads, as a fraction of that of a single load. */
  static final double CONCURRENT_LOAD_SPEED = 0.8;

  static final double MILLIS_PER_TOKEN = 25;

  /** Fraction by which a token takes longer in a full batch than alone. */
  static final double FULL_BATCH_SLOWDOWN = 0.3;

  /** Prefill time that a cached prefix saves. */
  static final long PREFIX_MILLIS = 150;

  static final int CACHED_PREFIXES = 64;

  /** Number of distinct prompt prefixes per adapter. */
  static final int PREFIXES_PER_ADAPTER = 4;

  static final long SAME_ZONE_MILLIS = 1;
  static final long CROSS_ZONE_MILLIS = 3;

  /** Interval between two load reports of an agent. */
  static final long REPORT_INTERVAL_MILLIS = 250;

  /** Age of a load report on arrival. */
  static final long REPORT_LAG_MILLIS = 150;

  static final long AGENT_QUEUE_LIMIT = 64;
  static final long MINIMUM_STAY_MILLIS = 2_000;

  static final long WARM_UP_MILLIS = 90_000;
  static final long MEASURED_MILLIS = 600_000;
  static final long END_MILLIS = WARM_UP_MILLIS + MEASURED_MILLIS;

  private SimulationSizes() {}

  /** Slot-milliseconds per token in a full batch. */
  static double fullBatchMillisPerToken() {
    return MILLIS_PER_TOKEN * (1 + FULL_BATCH_SLOWDOWN);
  }
}

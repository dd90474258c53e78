package org.hornbeamusher.bench.policy;

/** Load patterns and faults; all use the same skewed popularity of adapters. */
enum LoadPattern {
  STEADY("Steady skew, 60 % of capacity"),
  BURST("Burst: three times the rate for 10 s in every 60 s, 45 % otherwise"),
  HOT_CALLER("Hot caller: one of Tawhiti's callers sends 150 % of its capacity alone"),
  HOT_ADAPTER("Hot adapter: half of all requests name one cold adapter from a moment on"),
  SLOW_ENDPOINT("Slow endpoint: one of six is five times slower"),
  LONG_JOBS("Long among short: one request in ten is ten times as long, 80 % of capacity"),
  SHORT_CALLS("Short calls on six adapters, 80 % of capacity: reports are older than a call lasts"),
  OVERLOAD_2("Overload, 2 times capacity"),
  OVERLOAD_10("Overload, 10 times capacity"),
  FLIP("Popularity flip: the popular adapters become cold and cold ones popular"),
  RESTART("All engines restart at once"),
  LOADS_FAIL("Three loads in ten fail"),
  FLOOD("Pooled: Zarqa sends 4 times its part, Tawhiti 60 % of its own");

  private final String title;

  LoadPattern(String title) {
    this.title = title;
  }

  String title() {
    return title;
  }

  boolean pooled() {
    return this == FLOOD;
  }

  /** Whether residency is lost at the onset, so that the recovery time is reported. */
  boolean losesResidency() {
    return this == FLIP || this == RESTART;
  }

  /** Factor by which requests are shorter and more frequent. */
  int shorteningFactor() {
    return this == SHORT_CALLS ? 10 : 1;
  }

  /** Number of adapters in use. */
  int adapters() {
    return this == SHORT_CALLS ? 6 : SimulationSizes.ADAPTERS;
  }

  /** Time at which a fault or shift begins, in virtual milliseconds. */
  long onsetMillis() {
    return SimulationSizes.WARM_UP_MILLIS + SimulationSizes.MEASURED_MILLIS / 3;
  }

  /** Arrival rate at a time, as a multiple of capacity. */
  double load(Tenant tenant, long millis) {
    return switch (this) {
      case BURST -> millis % 60_000 < 10_000 ? 1.8 : 0.45;
      case LONG_JOBS, SHORT_CALLS -> 0.8;
      case OVERLOAD_2 -> overload(millis, 2);
      case OVERLOAD_10 -> overload(millis, 10);
      case FLOOD -> tenant == Tenant.ZARQA ? overload(millis, 4) : 0.6;
      default -> 0.6;
    };
  }

  /** Overload begins after the warm-up, when residency is stable, like any other fault. */
  private static double overload(long millis, double times) {
    return millis < SimulationSizes.WARM_UP_MILLIS ? 0.6 : times;
  }
}

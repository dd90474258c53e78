package org.hornbeamusher.holdings;

/**
 * Limits how many adapters an engine loads from the weight store concurrently, by additive increase
 * and decrease: a load that took much longer than an uncongested one shrinks the window by one, any
 * other grows it by one.
 *
 * <p>No agent knows how many loads are in progress at other engines, so the duration of its own
 * loads is the only sign of congestion. Each incarnation of the engine begins with a small window,
 * because engines tend to start together.
 *
 * <p><b>Load.</b> All engines lost power, are back empty, and each has a queue of adapters to load.
 * The store serves a certain number of loads at full speed; beyond that, loads share its bandwidth.
 * With four loads at each engine, all take twice as long: the most wanted adapter, which is ordered
 * first, arrives after 0.55 s instead of 0.25 s, without any gain in adapters per second.
 *
 * <p>Rejected: permits granted by one agent to the others, because the granting agent would have to
 * be replaced after the loss of its instance, which is just when permits are needed.
 */
final class LoadConcurrencyWindow {

  /** The engine refuses a fifth concurrent load. */
  static final int MAX_SIZE = 4;

  /** Without pacing, a small window after a restart keeps the store from being overloaded. */
  static final int INITIAL_SIZE = 2;

  /** A load slower than this multiple of the uncongested time indicates a congested store. */
  private static final double CONGESTION_RATIO = 1.5;

  /** Maximum growth factor of the uncongested time per load, so that a slower store is learnt. */
  private static final double MAX_BASELINE_GROWTH = 1.01;

  /**
   * Minimum factor by which one load may lower the uncongested time, because a load from the
   * engine's cache may be mistaken for one from the store.
   */
  private static final double MIN_BASELINE_RATIO = 0.95;

  private final int initialSize;
  private double uncongestedMillis;
  private int size;

  /** Loads completed since the last change; those started before it do not reflect it. */
  private int loadsSinceChange;

  LoadConcurrencyWindow(double initialMillis) {
    this(initialMillis, INITIAL_SIZE);
  }

  LoadConcurrencyWindow(double initialMillis, int initialSize) {
    this.uncongestedMillis = initialMillis;
    this.initialSize = initialSize;
    this.size = initialSize;
  }

  /** Records the duration of a load from the weight store. */
  void loadCompleted(long tookMillis) {
    uncongestedMillis =
        Math.max(
            uncongestedMillis * MIN_BASELINE_RATIO,
            Math.min(uncongestedMillis * MAX_BASELINE_GROWTH, tookMillis));
    loadsSinceChange++;
    if (loadsSinceChange >= size) {
      loadsSinceChange = 0;
      boolean congested = tookMillis > CONGESTION_RATIO * uncongestedMillis;
      size = congested ? Math.max(1, size - 1) : Math.min(MAX_SIZE, size + 1);
    }
  }

  /** Resets the window for a new incarnation of the engine. */
  void reset() {
    size = initialSize;
    loadsSinceChange = 0;
  }

  /** Returns how many loads may be in progress at once. */
  int size() {
    return size;
  }
}

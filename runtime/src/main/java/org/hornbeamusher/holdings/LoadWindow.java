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
final class LoadWindow {

  /** The engine refuses a fifth concurrent load. */
  private static final int MOST = 4;

  private static final int FIRST = 2;

  /** A load slower than this multiple of the uncongested time indicates a congested store. */
  private static final double SHARED = 1.5;

  /** Maximum growth of the uncongested time per load, so that it adapts to a slower store. */
  private static final double DRIFT = 1.01;

  /**
   * Maximum reduction of the uncongested time per load, because a load from the engine's cache may
   * be mistaken for one from the store.
   */
  private static final double MOST_DROP = 0.95;

  private double aloneMillis;
  private int size = FIRST;

  /** Loads completed since the last change; those started before it do not reflect it. */
  private int sinceChange;

  LoadWindow(double priorMillis) {
    aloneMillis = priorMillis;
  }

  /** Records the duration of a load from the weight store. */
  void loaded(long tookMillis) {
    aloneMillis = Math.max(aloneMillis * MOST_DROP, Math.min(aloneMillis * DRIFT, tookMillis));
    sinceChange++;
    if (sinceChange >= size) {
      sinceChange = 0;
      boolean shared = tookMillis > SHARED * aloneMillis;
      size = shared ? Math.max(1, size - 1) : Math.min(MOST, size + 1);
    }
  }

  /** Resets the window for a new incarnation of the engine. */
  void restarted() {
    size = FIRST;
    sinceChange = 0;
  }

  /** Returns how many loads may be in progress at once. */
  int size() {
    return size;
  }
}

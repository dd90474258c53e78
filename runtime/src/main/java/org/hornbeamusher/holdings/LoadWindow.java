package org.hornbeamusher.holdings;

/**
 * Decides how many adapters an engine fetches from the weight store at once.
 *
 * <p><b>Load.</b> All engines have lost power and are back, empty, and each has a line of adapters
 * to load. The store serves a number of loads at full speed and shares its way among any more. With
 * four at each engine, all are twice as slow: the adapter that most callers wait for, which is
 * ordered first, arrives after 0.55 s instead of 0.25, although no more adapters come in a second.
 *
 * <p>No agent knows how many loads are under way elsewhere; the time that its own loads take tells.
 * A load that took much longer than one alone closes the window by one, any other opens it by one.
 * A life of the engine begins with a small window, because engines that start tend to start
 * together.
 *
 * <p>Rejected: a turn given by one agent to the others; it has to be found again after the loss of
 * its instance, which is when it is needed.
 */
final class LoadWindow {

  /** The most that an engine fetches at once; it refuses a fifth. */
  private static final int MOST = 4;

  private static final int FIRST = 2;

  /** Beyond this many times the time of a load alone, the store's way is shared. */
  private static final double SHARED = 1.5;

  /** The least time seen is forgotten by a hundredth a load, so that a slower store is learnt. */
  private static final double DRIFT = 1.01;

  /** And lowered by a twentieth at most: a load from a copy may be taken for one from the store. */
  private static final double MOST_DROP = 0.95;

  private double aloneMillis;
  private int size = FIRST;

  /** Loads that ended since the last change; those that began before it say nothing of it. */
  private int sinceChange;

  LoadWindow(double priorMillis) {
    aloneMillis = priorMillis;
  }

  /** Takes the time of a load from the weight store. */
  void loaded(long tookMillis) {
    aloneMillis = Math.max(aloneMillis * MOST_DROP, Math.min(aloneMillis * DRIFT, tookMillis));
    sinceChange++;
    if (sinceChange >= size) {
      sinceChange = 0;
      boolean shared = tookMillis > SHARED * aloneMillis;
      size = shared ? Math.max(1, size - 1) : Math.min(MOST, size + 1);
    }
  }

  /** Another life of the engine begins. */
  void restarted() {
    size = FIRST;
    sinceChange = 0;
  }

  /** Returns how many loads may be under way. */
  int size() {
    return size;
  }
}

package org.hornbeamusher.holdings;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.hornbeamusher.routes.AdapterKey;

/**
 * Learns from an engine's loads and runs what it costs to have an adapter there.
 *
 * <p><b>Load.</b> Engines differ: a place is taken for 36 ms or for 250 until the next one is free,
 * an engine has copies of 36 adapters or of 84 outside its places. Reckoned with the figures of
 * another engine, a request is sent past the engine that has a copy of its adapter, because a place
 * there seems to be seconds away, and the adapter is fetched from the weight store again.
 *
 * <ul>
 *   <li>The time of a load is averaged over about ten of them. A load is taken for one from a copy
 *       when it took less than two fifths of one from the store; both grow alike when many loads
 *       share the way.
 *   <li>A place becomes free when the last run on its adapter ends. With every place in use that
 *       happens once in each mean time of use, divided by the places.
 *   <li>The depth of the engine's memory of copies lies between the deepest adapter that came from
 *       a copy and the shallowest that did not, counted by how many left their places after it.
 *       Where the two contradict each other the later one holds: loads of other agents, or another
 *       amount of memory in use, have moved the bound.
 * </ul>
 */
final class LoadTimes {

  /** Ten loads: a jump of the store's speed is followed within a second on a full day. */
  private static final double NEW_SHARE = 0.1;

  /** Between a tenth and the whole of a load from the store, nearer to the tenth. */
  private static final double COPY_BOUND = 0.4;

  /** A load that took longer says more of a lost order than of the store. */
  private static final long MOST_LOAD_MILLIS = 3_000;

  /** Adapters that left their places and are remembered; more than any engine has copies of. */
  private static final int MOST_LEFT = 1_024;

  /** A wrong depth is left behind after twice as many loads that contradict it. */
  private static final int DEPTH_STEPS = 8;

  /** An order that has not shown after this was refused or lost. */
  private static final long FORGOTTEN_MILLIS = 5_000;

  /** Told in steps of this, so that entries are told of changes and not of noise. */
  private static final long STEP_MILLIS = 10;

  private final int places;

  /** Adapters that left their places, the latest last. */
  private final LinkedHashSet<AdapterKey> left = new LinkedHashSet<>();

  private final LoadWindow window;

  /** When each load that is under way was ordered, of adapters that were not held. */
  private final Map<AdapterKey, Long> orderedMillis = new HashMap<>();

  /** Since when each adapter has been in use without a break. */
  private final Map<AdapterKey, Long> usedSince = new HashMap<>();

  private double storeMillis;
  private double copyMillis;
  private double useMillis;
  private int copies;

  LoadTimes(int places) {
    this.places = Math.max(1, places);
    LoadCosts prior = LoadCosts.prior(places);
    storeMillis = prior.storeMillis();
    copyMillis = prior.copyMillis();
    useMillis = prior.placeMillis() * this.places;
    copies = prior.copies();
    window = new LoadWindow(storeMillis);
  }

  /** An adapter has left its place. */
  void left(AdapterKey key) {
    left.remove(key);
    left.add(key);
    if (left.size() > MOST_LEFT) {
      left.remove(left.iterator().next());
    }
  }

  /** The engine has started again; it has no copies of what it held before. */
  void restarted() {
    left.clear();
    usedSince.clear();
    window.restarted();
  }

  /** The engine cannot be seen; what becomes of its loads is not known. */
  void lost() {
    orderedMillis.clear();
  }

  /** An adapter that is not held is ordered. */
  void ordered(AdapterKey key, long now) {
    orderedMillis.put(key, now);
  }

  /** A report says which adapters are held. */
  void held(Set<AdapterKey> held, long now) {
    for (AdapterKey key : List.copyOf(orderedMillis.keySet())) {
      long took = now - orderedMillis.get(key);
      boolean there = held.contains(key);
      if (there) {
        loaded(key, took);
      }
      if (there || took > FORGOTTEN_MILLIS) {
        orderedMillis.remove(key);
      }
    }
  }

  /** Takes which adapters have runs on them. */
  void inUse(Set<AdapterKey> used, long now) {
    for (AdapterKey key : List.copyOf(usedSince.keySet())) {
      if (!used.contains(key)) {
        used(now - usedSince.remove(key));
      }
    }
    used.forEach(key -> usedSince.putIfAbsent(key, now));
  }

  /** A load has ended. */
  void loaded(AdapterKey key, long tookMillis) {
    long took = Math.min(MOST_LOAD_MILLIS, tookMillis);
    boolean fromCopy = left.contains(key) && took < COPY_BOUND * storeMillis;
    if (left.contains(key)) {
      learnDepth(depth(key), fromCopy);
    }
    if (fromCopy) {
      copyMillis += NEW_SHARE * (took - copyMillis);
    } else {
      storeMillis += NEW_SHARE * (took - storeMillis);
      window.loaded(took);
    }
    left.remove(key);
  }

  private void learnDepth(int depth, boolean fromCopy) {
    if (fromCopy) {
      copies = Math.max(copies, depth + 1);
    } else {
      // One load may be slow for another reason: an order that was carried out late, say.
      copies = Math.min(copies, Math.max(depth, copies - Math.max(1, copies / DEPTH_STEPS)));
    }
  }

  /** How many adapters left their places after this one. */
  private int depth(AdapterKey key) {
    List<AdapterKey> oldestFirst = new ArrayList<>(left);
    return left.size() - 1 - oldestFirst.indexOf(key);
  }

  /** The last run on an adapter has ended; it was in use all that time. */
  void used(long tookMillis) {
    useMillis += NEW_SHARE * (tookMillis - useMillis);
  }

  /** How many adapters may be on their way to the engine at once. */
  int window() {
    return window.size();
  }

  /** How long an adapter is in use at a time, on average. */
  long useMillis() {
    return Math.round(useMillis);
  }

  LoadCosts costs() {
    return new LoadCosts(
        step(storeMillis), step(copyMillis), Math.max(1, step(useMillis / places)), copies);
  }

  private static long step(double millis) {
    return Math.round(millis / STEP_MILLIS) * STEP_MILLIS;
  }
}

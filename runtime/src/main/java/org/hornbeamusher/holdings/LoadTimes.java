package org.hornbeamusher.holdings;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.hornbeamusher.routes.AdapterKey;

/**
 * Estimates the cost of loading an adapter from the observed loads and runs of one engine:
 *
 * <ul>
 *   <li>Load times are exponential moving averages over about ten loads. A load counts as served
 *       from the engine's cache of unloaded adapters when it took less than two fifths of a load
 *       from the weight store; both become slower alike when many loads share the bandwidth.
 *   <li>A slot becomes free when the last run on its adapter ends. With every slot in use, this
 *       happens once per mean time of use divided by the number of slots.
 *   <li>The cache size lies between the deepest adapter that was loaded from the cache and the
 *       shallowest that was not. The depth of an adapter is the number of adapters unloaded after
 *       it. Where two observations contradict each other, the later one counts: loads of other
 *       agents or a different memory usage have changed the cache size.
 * </ul>
 *
 * <p><b>Load.</b> Engines differ: a slot becomes free every 36 ms or every 250 ms, an engine caches
 * 36 or 84 unloaded adapters. With the figures of another engine, requests would avoid the engine
 * that has their adapter cached because the wait for a slot there appears to be seconds, and the
 * adapter would be loaded from the weight store again.
 */
final class LoadTimes {

  /** Averages over ten loads: under full load, a change of the store's speed shows within 1 s. */
  private static final double NEW_SHARE = 0.1;

  /** Below this ratio to a store load, a load came from the cache, which takes a tenth. */
  private static final double COPY_BOUND = 0.4;

  /** A longer load indicates a lost order rather than a slow store. */
  private static final long MOST_LOAD_MILLIS = 3_000;

  /** Number of unloaded adapters that are tracked; more than any engine caches. */
  private static final int MOST_LEFT = 1_024;

  /** A wrong cache size is corrected after about twice this many loads that contradict it. */
  private static final int DEPTH_STEPS = 8;

  /** A load that no report has shown within this time was refused or lost. */
  private static final long FORGOTTEN_MILLIS = 5_000;

  /** Times are rounded to this unit, so that noise is not reported to the entries. */
  private static final long STEP_MILLIS = 10;

  private final int places;

  /** Unloaded adapters, the most recent last. */
  private final LinkedHashSet<AdapterKey> left = new LinkedHashSet<>();

  private final LoadWindow window;

  /** The order times of the loads in progress, for adapters that were not held. */
  private final Map<AdapterKey, Long> orderedMillis = new HashMap<>();

  /** The time since which each adapter has been in use without interruption. */
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

  /** Records that an adapter was unloaded. */
  void left(AdapterKey key) {
    left.remove(key);
    left.add(key);
    if (left.size() > MOST_LEFT) {
      left.remove(left.iterator().next());
    }
  }

  /** Handles a restart of the engine, after which its cache is empty. */
  void restarted() {
    left.clear();
    usedSince.clear();
    window.restarted();
  }

  /** Handles the loss of contact with the engine; the outcome of its loads is unknown. */
  void lost() {
    orderedMillis.clear();
  }

  /** Records an order to load an adapter that is not held. */
  void ordered(AdapterKey key, long now) {
    orderedMillis.put(key, now);
  }

  /** Takes the adapters that the engine holds according to a report. */
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

  /** Takes the adapters that have running requests. */
  void inUse(Set<AdapterKey> used, long now) {
    for (AdapterKey key : List.copyOf(usedSince.keySet())) {
      if (!used.contains(key)) {
        used(now - usedSince.remove(key));
      }
    }
    used.forEach(key -> usedSince.putIfAbsent(key, now));
  }

  /** Records a completed load. */
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
      // One load may be slow for another reason, such as an order that was executed late.
      copies = Math.min(copies, Math.max(depth, copies - Math.max(1, copies / DEPTH_STEPS)));
    }
  }

  /** Returns the number of adapters that were unloaded after this one. */
  private int depth(AdapterKey key) {
    List<AdapterKey> oldestFirst = new ArrayList<>(left);
    return left.size() - 1 - oldestFirst.indexOf(key);
  }

  /** Records how long an adapter was in use without interruption. */
  void used(long tookMillis) {
    useMillis += NEW_SHARE * (tookMillis - useMillis);
  }

  /** Returns how many adapters may be loading at once. */
  int window() {
    return window.size();
  }

  /** Returns the mean time that an adapter is in use without interruption. */
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

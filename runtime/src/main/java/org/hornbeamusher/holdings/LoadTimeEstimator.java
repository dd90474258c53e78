package org.hornbeamusher.holdings;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.LongConsumer;
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
 * 36 or 84 unloaded adapters. With the costs of another engine, requests would avoid the engine
 * that has their adapter cached because the wait for a slot there appears to be seconds, and the
 * adapter would be loaded from the weight store again.
 */
final class LoadTimeEstimator {

  /** Averages over ten loads: under full load, a change of the store's speed shows within 1 s. */
  private static final double SMOOTHING_FACTOR = 0.1;

  /** Loads below this ratio to a store load count as cached; a cached load takes a tenth. */
  private static final double CACHED_LOAD_RATIO = 0.4;

  /** A longer load indicates a lost order rather than a slow store. */
  private static final long MAX_LOAD_MILLIS = 3_000;

  /** Number of unloaded adapters that are tracked; more than any engine caches. */
  private static final int MAX_UNLOADED = 1_024;

  /** A wrong cache size is corrected after about twice this many loads that contradict it. */
  private static final int CACHE_SIZE_STEPS = 8;

  /** A load that no report has shown within this time was refused or lost. */
  private static final long LOST_LOAD_MILLIS = 5_000;

  /** Times are rounded to this unit, so that noise is not reported to the entries. */
  private static final long ROUNDING_MILLIS = 10;

  private final int slots;

  /** Unloaded adapters, the most recent last. */
  private final LinkedHashSet<AdapterKey> unloaded = new LinkedHashSet<>();

  private final LoadConcurrencyWindow loadWindow;

  /** The order times of the loads in progress, for adapters that were not held. */
  private final Map<AdapterKey, Long> orderedAtMillis = new HashMap<>();

  /** The time since which each adapter has been in use without interruption. */
  private final Map<AdapterKey, Long> inUseSinceMillis = new HashMap<>();

  private double storeMillis;
  private double cachedMillis;
  private double useMillis;
  private int cachedAdapters;

  /** Receives the duration of each load from the weight store. */
  private final LongConsumer storeLoads;

  LoadTimeEstimator(int slots) {
    this(slots, LoadConcurrencyWindow.INITIAL_SIZE, tookMillis -> {});
  }

  LoadTimeEstimator(int slots, int initialWindow, LongConsumer storeLoads) {
    this.slots = Math.max(1, slots);
    this.storeLoads = storeLoads;
    LoadCosts prior = LoadCosts.initialEstimate(slots);
    storeMillis = prior.storeLoadMillis();
    cachedMillis = prior.cachedLoadMillis();
    useMillis = prior.slotWaitMillis() * this.slots;
    cachedAdapters = prior.cachedAdapters();
    loadWindow = new LoadConcurrencyWindow(storeMillis, initialWindow);
  }

  /** Records that an adapter was unloaded. */
  void unloaded(AdapterKey key) {
    unloaded.remove(key);
    unloaded.add(key);
    if (unloaded.size() > MAX_UNLOADED) {
      unloaded.remove(unloaded.iterator().next());
    }
  }

  /** Handles a restart of the engine, after which its cache is empty. */
  void engineRestarted() {
    unloaded.clear();
    inUseSinceMillis.clear();
    loadWindow.reset();
  }

  /** Handles the loss of contact with the engine; the outcome of its loads is unknown. */
  void engineUnreachable() {
    orderedAtMillis.clear();
  }

  /** Records an order to load an adapter that is not held. */
  void loadOrdered(AdapterKey key, long now) {
    orderedAtMillis.put(key, now);
  }

  /** Takes the adapters that the engine holds according to a report. */
  void updateHeld(Set<AdapterKey> held, long now) {
    for (AdapterKey key : List.copyOf(orderedAtMillis.keySet())) {
      long took = now - orderedAtMillis.get(key);
      boolean isHeld = held.contains(key);
      if (isHeld) {
        loadCompleted(key, took);
      }
      if (isHeld || took > LOST_LOAD_MILLIS) {
        orderedAtMillis.remove(key);
      }
    }
  }

  /** Takes the adapters that have running requests. */
  void updateInUse(Set<AdapterKey> used, long now) {
    for (AdapterKey key : List.copyOf(inUseSinceMillis.keySet())) {
      if (!used.contains(key)) {
        useEnded(now - inUseSinceMillis.remove(key));
      }
    }
    used.forEach(key -> inUseSinceMillis.putIfAbsent(key, now));
  }

  /** Records a completed load. */
  void loadCompleted(AdapterKey key, long tookMillis) {
    long took = Math.min(MAX_LOAD_MILLIS, tookMillis);
    boolean fromCache = unloaded.contains(key) && took < CACHED_LOAD_RATIO * storeMillis;
    if (unloaded.contains(key)) {
      updateCacheSize(depth(key), fromCache);
    }
    if (fromCache) {
      cachedMillis += SMOOTHING_FACTOR * (took - cachedMillis);
    } else {
      storeMillis += SMOOTHING_FACTOR * (took - storeMillis);
      loadWindow.loadCompleted(took);
      storeLoads.accept(took);
    }
    unloaded.remove(key);
  }

  private void updateCacheSize(int depth, boolean fromCache) {
    if (fromCache) {
      cachedAdapters = Math.max(cachedAdapters, depth + 1);
    } else {
      // One load may be slow for another reason, such as an order that was executed late.
      cachedAdapters =
          Math.min(
              cachedAdapters,
              Math.max(depth, cachedAdapters - Math.max(1, cachedAdapters / CACHE_SIZE_STEPS)));
    }
  }

  /** Returns the number of adapters that were unloaded after this one. */
  private int depth(AdapterKey key) {
    List<AdapterKey> oldestFirst = new ArrayList<>(unloaded);
    return unloaded.size() - 1 - oldestFirst.indexOf(key);
  }

  /** Returns whether the engine probably still caches an adapter that it has unloaded. */
  boolean isCached(AdapterKey key) {
    return unloaded.contains(key) && depth(key) < cachedAdapters;
  }

  /** Records how long an adapter was in use without interruption. */
  void useEnded(long tookMillis) {
    useMillis += SMOOTHING_FACTOR * (tookMillis - useMillis);
  }

  /** Returns how many adapters may be loading at once. */
  int maxConcurrentLoads() {
    return loadWindow.size();
  }

  /** Returns the mean time that an adapter is in use without interruption. */
  long useMillis() {
    return Math.round(useMillis);
  }

  LoadCosts costs() {
    return new LoadCosts(
        round(storeMillis),
        round(cachedMillis),
        Math.max(1, round(useMillis / slots)),
        cachedAdapters);
  }

  private static long round(double millis) {
    return Math.round(millis / ROUNDING_MILLIS) * ROUNDING_MILLIS;
  }
}

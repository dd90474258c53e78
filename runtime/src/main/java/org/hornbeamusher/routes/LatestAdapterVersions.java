package org.hornbeamusher.routes;

import java.util.HashMap;
import java.util.Map;

/** The newest known version of each adapter; it never returns to an older one. */
public final class LatestAdapterVersions {

  /** The version of adapters for which no version was received. */
  public static final long FIRST = 1;

  private final Map<AdapterKey, Long> newest = new HashMap<>();

  /** Creates an instance in which every adapter is at its first version. */
  public LatestAdapterVersions() {}

  /**
   * Records a version unless the same or a newer one is known.
   *
   * @param adapter the adapter
   * @param version the version that was received
   * @return whether it is newer than the one before
   */
  public boolean offer(AdapterKey adapter, long version) {
    if (version <= of(adapter)) {
      return false;
    }
    newest.put(adapter, version);
    return true;
  }

  /**
   * Returns the newest version.
   *
   * @param adapter the adapter
   * @return {@link #FIRST} unless a newer one was received
   */
  public long of(AdapterKey adapter) {
    return newest.getOrDefault(adapter, FIRST);
  }
}

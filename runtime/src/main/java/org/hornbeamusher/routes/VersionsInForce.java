package org.hornbeamusher.routes;

import java.util.HashMap;
import java.util.Map;

/** The newest version named for each adapter; like the configuration, it never goes back. */
public final class VersionsInForce {

  /** Adapters without an entry are at this version. */
  public static final long FIRST = 1;

  private final Map<AdapterKey, Long> newest = new HashMap<>();

  /** Creates a book in which every adapter is at its first version. */
  public VersionsInForce() {}

  /**
   * Takes a version unless a newer one is known.
   *
   * @param adapter the adapter
   * @param version the version that was named
   * @return whether it is news
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
   * @return {@link #FIRST} unless another one was named
   */
  public long of(AdapterKey adapter) {
    return newest.getOrDefault(adapter, FIRST);
  }
}

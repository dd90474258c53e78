package org.hornbeamusher.forwarding;

import java.util.HashMap;
import java.util.Map;
import java.util.TreeMap;
import org.hornbeamusher.directory.AdapterVersion;
import org.hornbeamusher.routes.AdapterKey;

/**
 * Decides for how long a request that was placed for a version of its adapter may still begin on
 * it.
 *
 * <p>A request is placed for the newest known version. One that waits when a newer version is
 * published keeps its place for a grace period, because the engine replaces the adapter only once
 * nothing runs on it. Without the grace period, each publication of a version of an adapter in
 * demand would send all its waiting requests to the end of the queue.
 *
 * <p>Example with a grace period of 2.5 s: version 2 is published at 10 s. A request that waits for
 * version 1 may begin on it until 12.5 s, also if version 3 is published at 12 s; then it is placed
 * for version 3.
 */
final class SupersededVersions {

  private final long graceMillis;

  /** When each version of an adapter was received. */
  private final Map<AdapterKey, TreeMap<Long, Long>> receivedMillis = new HashMap<>();

  SupersededVersions(long graceMillis) {
    this.graceMillis = graceMillis;
  }

  /** Records a version that is newer than those before. */
  void received(AdapterKey adapter, long version, long now) {
    TreeMap<Long, Long> versions = receivedMillis.computeIfAbsent(adapter, key -> new TreeMap<>());
    versions.put(version, now);
    // Of the versions whose grace period is over, the newest decides for all older ones.
    while (versions.size() > 1 && isOver(versions.higherEntry(versions.firstKey()), now)) {
      versions.pollFirstEntry();
    }
  }

  /** Returns whether a request may no longer begin on a version. */
  boolean isExpired(AdapterVersion adapter, long now) {
    TreeMap<Long, Long> versions = receivedMillis.get(adapter.key());
    Map.Entry<Long, Long> newer = versions == null ? null : versions.higherEntry(adapter.version());
    return newer != null && isOver(newer, now);
  }

  private boolean isOver(Map.Entry<Long, Long> received, long now) {
    return now - received.getValue() >= graceMillis;
  }
}

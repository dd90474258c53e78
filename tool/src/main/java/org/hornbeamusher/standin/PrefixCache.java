package org.hornbeamusher.standin;

import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;
import org.hornbeamusher.ids.AdapterRef;

/**
 * An engine's cache of prompt beginnings, in blocks of a fixed length.
 *
 * <p>A block is known by the hash of its adapter and of the whole prompt up to its end; so a block
 * counts only if all blocks before it are the same. The least recently read block goes first.
 */
final class PrefixCache {

  /** Characters of one block. */
  static final int BLOCK_CHARS = 64;

  private static final int CHARS_PER_TOKEN = 4;

  private final int capacity;
  private final CacheEvents events;
  private final Map<Long, AdapterRef> blocks = new LinkedHashMap<>(16, 0.75f, true);

  PrefixCache(int capacity, CacheEvents events) {
    this.capacity = capacity;
    this.events = events;
  }

  /** Stores a prompt's blocks and returns how many of its tokens were cached already. */
  int read(AdapterRef adapter, String prompt, long now) {
    long hash = adapter.toString().hashCode();
    int cachedBlocks = 0;
    boolean unbroken = true;
    for (int end = BLOCK_CHARS; end <= prompt.length(); end += BLOCK_CHARS) {
      hash = hash * 1_000_003 + prompt.substring(end - BLOCK_CHARS, end).hashCode();
      unbroken = unbroken && blocks.get(hash) != null;
      if (unbroken) {
        cachedBlocks++;
      } else if (blocks.put(hash, adapter) == null) {
        events.record("stored", adapter, hash, now);
      }
    }
    evict(now);
    return cachedBlocks * BLOCK_CHARS / CHARS_PER_TOKEN;
  }

  void clear() {
    blocks.clear();
  }

  private void evict(long now) {
    Iterator<Map.Entry<Long, AdapterRef>> oldest = blocks.entrySet().iterator();
    while (blocks.size() > capacity) {
      Map.Entry<Long, AdapterRef> block = oldest.next();
      events.record("removed", block.getValue(), block.getKey(), now);
      oldest.remove();
    }
  }
}

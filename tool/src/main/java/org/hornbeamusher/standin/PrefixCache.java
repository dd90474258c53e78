package org.hornbeamusher.standin;

import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;
import org.hornbeamusher.ids.AdapterRef;

/**
 * Simulates an engine's prefix cache, in blocks of a fixed length, with LRU eviction.
 *
 * <p>A block's key is the hash of its adapter and of the prompt up to the block's end, so that a
 * block is a hit only if all blocks before it are the same.
 */
final class PrefixCache {

  /** Characters per block. */
  static final int BLOCK_CHARS = 64;

  private static final int CHARS_PER_TOKEN = 4;

  private final int capacity;
  private final CacheEvents events;
  private final Map<Long, AdapterRef> blocks = new LinkedHashMap<>(16, 0.75f, true);

  PrefixCache(int capacity, CacheEvents events) {
    this.capacity = capacity;
    this.events = events;
  }

  /** Stores a prompt's blocks and returns how many of its tokens were already cached. */
  int lookUpAndStore(AdapterRef adapter, String prompt, long now) {
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

package org.hornbeamusher.placement;

import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.hornbeamusher.routes.AdapterKey;

/**
 * Estimates which prompt parts an engine still has in its prefix cache, from the prompts that this
 * entry has sent to it.
 *
 * <p>An engine caches a part for one adapter only, and a cached part is usable only if all parts
 * before it are cached, too. The engine evicts the least recently used parts, so the estimate
 * evicts in the same order. Its limit is a fraction of the engine's memory, because other entries
 * send prompts to the engine as well.
 */
final class PrefixCacheEstimate {

  private final long limitTokens;
  private final LinkedHashMap<Key, Integer> parts = new LinkedHashMap<>(16, 0.75f, true);
  private long tokens;

  PrefixCacheEstimate(long limitTokens) {
    this.limitTokens = limitTokens;
  }

  int cachedTokens(AdapterKey adapter, List<PromptPart> prompt) {
    int cached = 0;
    for (PromptPart part : prompt) {
      if (!parts.containsKey(new Key(adapter, part.id()))) {
        return cached;
      }
      cached += part.tokens();
    }
    return cached;
  }

  void recordSent(AdapterKey adapter, List<PromptPart> prompt) {
    for (PromptPart part : prompt) {
      if (parts.put(new Key(adapter, part.id()), part.tokens()) == null) {
        tokens += part.tokens();
      }
    }
    Iterator<Map.Entry<Key, Integer>> oldestFirst = parts.entrySet().iterator();
    while (tokens > limitTokens && oldestFirst.hasNext()) {
      tokens -= oldestFirst.next().getValue();
      oldestFirst.remove();
    }
  }

  void clear() {
    parts.clear();
    tokens = 0;
  }

  private record Key(AdapterKey adapter, String part) {

    // The generated methods call a chain of method handles, and each placement compares many keys.
    @Override
    public boolean equals(Object object) {
      return object instanceof Key other
          && part.equals(other.part)
          && adapter.equals(other.adapter);
    }

    @Override
    public int hashCode() {
      return 31 * adapter.hashCode() + part.hashCode();
    }
  }
}

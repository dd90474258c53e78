package org.hornbeamusher.placement;

import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.hornbeamusher.routes.AdapterKey;

/**
 * Which parts of prompts an engine probably still has in memory, by what was sent to it.
 *
 * <p>An engine keeps a part for one adapter only, and a part is of use only if all parts before it
 * are kept too. The least recently used parts yield, so the book forgets in the same order, at a
 * share of the engine's memory: other entries send to it as well.
 */
final class PrefixCache {

  private final long limitTokens;
  private final LinkedHashMap<Key, Integer> parts = new LinkedHashMap<>(16, 0.75f, true);
  private long tokens;

  PrefixCache(long limitTokens) {
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

  void sent(AdapterKey adapter, List<PromptPart> prompt) {
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

  private record Key(AdapterKey adapter, String part) {}
}

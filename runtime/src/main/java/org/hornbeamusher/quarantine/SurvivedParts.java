package org.hornbeamusher.quarantine;

import java.util.LinkedHashMap;
import java.util.Map;

/**
 * The parts of prompts on which an endpoint has recently answered without a crash. Such a part is
 * not the cause of crashes, however many of the endpoints that crash run requests with it. Not
 * thread-safe.
 *
 * <p>Bounded: a part that many requests share is used all the time and stays; of the others the
 * least recently used ones are forgotten.
 */
final class SurvivedParts {

  /** A part that starts to crash endpoints after an update of their software is noticed then. */
  private static final long RETENTION_MILLIS = 10 * 60_000;

  private static final int CAPACITY = 4_096;
  private static final int INITIAL_CAPACITY = 64;
  private static final float LOAD_FACTOR = 0.75f;

  /** When an endpoint last answered on a part; the least recently used part is the first. */
  private final Map<PromptPartId, Long> lastMillis =
      new LinkedHashMap<>(INITIAL_CAPACITY, LOAD_FACTOR, true) {
        private static final long serialVersionUID = 1L;

        @Override
        protected boolean removeEldestEntry(Map.Entry<PromptPartId, Long> eldest) {
          return size() > CAPACITY;
        }
      };

  void add(PromptPartId part, long now) {
    lastMillis.put(part, now);
  }

  boolean contains(PromptPartId part, long now) {
    Long last = lastMillis.get(part);
    return last != null && now - last < RETENTION_MILLIS;
  }
}

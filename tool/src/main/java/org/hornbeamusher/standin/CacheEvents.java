package org.hornbeamusher.standin;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;
import org.hornbeamusher.ids.AdapterRef;

/** Cache events as an engine publishes them: late, and with some missing for good. */
final class CacheEvents {

  private static final int KEPT = 2_000;

  private final long delayMillis;
  private final int gap;
  private final Deque<CacheEvent> kept = new ArrayDeque<>();
  private long lastSequence;

  CacheEvents(long delayMillis, int gap) {
    this.delayMillis = delayMillis;
    this.gap = gap;
  }

  void record(String type, AdapterRef adapter, long block, long now) {
    lastSequence++;
    if (gap > 0 && lastSequence % gap == 0) {
      return;
    }
    String name = Long.toHexString(block);
    kept.add(new CacheEvent(lastSequence, type, adapter.toString(), name, now));
    if (kept.size() > KEPT) {
      kept.remove();
    }
  }

  List<CacheEvent> after(long sequence, long now) {
    return kept.stream()
        .filter(event -> event.sequence() > sequence && event.atMillis() + delayMillis <= now)
        .toList();
  }

  /**
   * One event; also its JSON form.
   *
   * @param sequence rises by one with every event, published or not
   * @param type {@code stored} or {@code removed}
   * @param adapter whose prompt it was
   * @param block the block's hash
   * @param atMillis when it happened
   */
  record CacheEvent(long sequence, String type, String adapter, String block, long atMillis) {}
}

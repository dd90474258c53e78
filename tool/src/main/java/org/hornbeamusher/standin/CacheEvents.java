package org.hornbeamusher.standin;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;
import org.hornbeamusher.ids.AdapterRef;

/** Cache events as an engine publishes them: after a delay, and with every n-th one dropped. */
final class CacheEvents {

  private static final int MAX_EVENTS = 2_000;

  private final long delayMillis;
  private final int dropInterval;
  private final Deque<CacheEvent> recent = new ArrayDeque<>();
  private long lastSequence;

  CacheEvents(long delayMillis, int dropInterval) {
    this.delayMillis = delayMillis;
    this.dropInterval = dropInterval;
  }

  void record(String type, AdapterRef adapter, long block, long now) {
    lastSequence++;
    if (dropInterval > 0 && lastSequence % dropInterval == 0) {
      return;
    }
    String name = Long.toHexString(block);
    recent.add(new CacheEvent(lastSequence, type, adapter.toString(), name, now));
    if (recent.size() > MAX_EVENTS) {
      recent.remove();
    }
  }

  List<CacheEvent> after(long sequence, long now) {
    return recent.stream()
        .filter(event -> event.sequence() > sequence && event.atMillis() + delayMillis <= now)
        .toList();
  }

  /**
   * One event; also its JSON form.
   *
   * @param sequence increases by one with every event, including the dropped ones
   * @param type {@code stored} or {@code removed}
   * @param adapter the adapter that the prompt was processed for
   * @param block the block's hash
   * @param atMillis when the block was stored or removed
   */
  record CacheEvent(long sequence, String type, String adapter, String block, long atMillis) {}
}

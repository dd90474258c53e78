package org.hornbeamusher.sidecar;

import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;
import org.hornbeamusher.clock.Clock;
import org.hornbeamusher.directory.SoftwareHistory;
import org.hornbeamusher.wire.Message;

/**
 * Remembers where streams began, for entries at which callers take them up. Confined to the event
 * loop.
 */
final class StreamOriginRegistry {

  private static final int MAX_STREAMS = 20_000;

  private static final Message.StreamBegun UNKNOWN = new Message.StreamBegun("", "", "", false, 0);

  /** The origins by the id of the first try, the oldest first. */
  private final Map<String, Entry> origins = new LinkedHashMap<>();

  private final Clock clock;

  StreamOriginRegistry(Clock clock) {
    this.clock = clock;
  }

  void begun(Message.StreamBegun stream) {
    long now = clock.millis();
    origins.remove(stream.requestId());
    origins.put(stream.requestId(), new Entry(stream, now));
    Iterator<Entry> oldestFirst = origins.values().iterator();
    while (oldestFirst.hasNext()) {
      boolean expired = now - oldestFirst.next().atMillis() >= SoftwareHistory.RETENTION_MILLIS;
      if (!expired && origins.size() <= MAX_STREAMS) {
        return;
      }
      oldestFirst.remove();
    }
  }

  Message.StreamOriginResponse origin(Message.StreamOriginRequest request) {
    Entry entry = origins.get(request.requestId());
    Message.StreamBegun known = entry == null ? UNKNOWN : entry.stream();
    return new Message.StreamOriginResponse(
        request.requestNumber(),
        known.endpoint(),
        known.software(),
        known.softwareKnown(),
        known.startMillis());
  }

  private record Entry(Message.StreamBegun stream, long atMillis) {}
}

package org.hornbeamusher.entry;

import java.io.ByteArrayOutputStream;
import java.util.ArrayList;
import java.util.List;

/**
 * Splits a stream of server-sent events into the data of each event.
 *
 * <p>An event may span any number of parts. A line longer than {@link #MAX_LINE_BYTES} is not an
 * error here but is truncated, so that its consumer finds malformed data.
 */
final class ServerSentEventParser {

  private static final int MAX_LINE_BYTES = 1024 * 1024;
  private static final String DATA = "data:";

  private final ByteArrayOutputStream line = new ByteArrayOutputStream();

  /** Adds a part and returns the data of every event that it completes. */
  List<String> feed(byte[] part) {
    List<String> events = new ArrayList<>();
    int start = 0;
    for (int i = 0; i < part.length; i++) {
      if (part[i] == '\n') {
        append(part, start, i);
        takeLine(events);
        start = i + 1;
      }
    }
    append(part, start, part.length);
    return events;
  }

  private void append(byte[] part, int start, int end) {
    int room = MAX_LINE_BYTES - line.size();
    line.write(part, start, Math.min(end - start, room));
  }

  private void takeLine(List<String> events) {
    String text = line.toString(java.nio.charset.StandardCharsets.UTF_8);
    line.reset();
    if (text.startsWith(DATA)) {
      events.add(text.substring(DATA.length()).strip());
    }
  }
}

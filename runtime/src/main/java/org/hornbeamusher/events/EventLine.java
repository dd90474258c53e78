package org.hornbeamusher.events;

import com.fasterxml.jackson.core.io.JsonStringEncoder;

/**
 * The JSON form of one event: {@code {"event":1001,"name":"PROCESS_STARTED",...}}.
 *
 * <p>Built with a {@link StringBuilder} and not with a tree of JSON nodes: an entry writes several
 * lines a request, and the classes of the tree would have to be loaded at startup.
 */
final class EventLine {

  /** Prefix of every event; no other log message begins with it. */
  static final String EVENT_PREFIX = "{\"event\":";

  private static final int INITIAL_CAPACITY = 400;

  private EventLine() {}

  static String format(EventType type, Object... fields) {
    StringBuilder line = new StringBuilder(INITIAL_CAPACITY);
    line.append(EVENT_PREFIX)
        .append(type.number())
        .append(",\"name\":\"")
        .append(type.name())
        .append('"');
    for (int i = 0; i + 1 < fields.length; i += 2) {
      line.append(',');
      appendQuoted(line, String.valueOf(fields[i]));
      line.append(':');
      if (fields[i + 1] instanceof Number number) {
        line.append(number.longValue());
      } else {
        appendQuoted(line, String.valueOf(fields[i + 1]));
      }
    }
    return line.append('}').toString();
  }

  /** Appends a text as a JSON string. */
  static void appendQuoted(StringBuilder line, String text) {
    line.append('"');
    JsonStringEncoder.getInstance().quoteAsString(text, line);
    line.append('"');
  }
}

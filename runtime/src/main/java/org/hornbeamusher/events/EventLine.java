package org.hornbeamusher.events;

import com.fasterxml.jackson.core.io.JsonStringEncoder;

/**
 * The JSON form of one event: {@code {"event":1001,"name":"PROCESS_STARTED",...}}.
 *
 * <p>Written straight into text: an entry writes several lines a request, and a process that starts
 * has better things to load than a tree of JSON nodes.
 */
final class EventLine {

  /** What every event begins with, and nothing else that is logged. */
  static final String BEGIN = "{\"event\":";

  private static final int USUAL_CHARACTERS = 400;

  private EventLine() {}

  static String format(EventType type, Object... fields) {
    StringBuilder line = new StringBuilder(USUAL_CHARACTERS);
    line.append(BEGIN).append(type.number()).append(",\"name\":\"").append(type.name()).append('"');
    for (int i = 0; i + 1 < fields.length; i += 2) {
      line.append(',');
      text(line, String.valueOf(fields[i]));
      line.append(':');
      if (fields[i + 1] instanceof Number number) {
        line.append(number.longValue());
      } else {
        text(line, String.valueOf(fields[i + 1]));
      }
    }
    return line.append('}').toString();
  }

  /** Appends a text in quotes. */
  static void text(StringBuilder line, String text) {
    line.append('"');
    JsonStringEncoder.getInstance().quoteAsString(text, line);
    line.append('"');
  }
}

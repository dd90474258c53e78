package org.hornbeamusher.events;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;

/** The JSON form of one event: {@code {"event":1001,"name":"PROCESS_STARTED",...}}. */
final class EventLine {

  private static final ObjectMapper JSON = new ObjectMapper();

  private EventLine() {}

  static String format(EventType type, Object... fields) {
    ObjectNode line = JSON.createObjectNode();
    line.put("event", type.number());
    line.put("name", type.name());
    for (int i = 0; i + 1 < fields.length; i += 2) {
      put(line, String.valueOf(fields[i]), fields[i + 1]);
    }
    return line.toString();
  }

  private static void put(ObjectNode line, String name, Object value) {
    if (value instanceof Number number) {
      line.put(name, number.longValue());
    } else {
      line.put(name, String.valueOf(value));
    }
  }
}

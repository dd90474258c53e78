package org.hornbeamusher.events;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.time.Instant;
import java.util.logging.Formatter;
import java.util.logging.LogRecord;

/**
 * Writes each log record as one line of JSON.
 *
 * <p>An event keeps its fields; a record of a library, which is plain text, becomes the field
 * {@code message}. Every line has {@code time} (ISO 8601, UTC) and {@code level}.
 */
public final class JsonLinesFormatter extends Formatter {

  private static final ObjectMapper JSON = new ObjectMapper();

  /** Creates a formatter. */
  public JsonLinesFormatter() {}

  @Override
  public String format(LogRecord record) {
    ObjectNode line = JSON.createObjectNode();
    line.put("time", Instant.ofEpochMilli(record.getMillis()).toString());
    line.put("level", record.getLevel().getName());
    String message = formatMessage(record);
    if (EventLog.class.getName().equals(record.getLoggerName())) {
      addFields(line, message);
    } else {
      line.put("logger", record.getLoggerName());
      line.put("message", message);
    }
    if (record.getThrown() != null) {
      line.put("thrown", record.getThrown().toString());
    }
    return line + "\n";
  }

  private static void addFields(ObjectNode line, String event) {
    try {
      line.setAll((ObjectNode) JSON.readTree(event));
    } catch (com.fasterxml.jackson.core.JsonProcessingException | ClassCastException e) {
      // A record that is no event after all is kept as text, not lost.
      line.put("message", event);
    }
  }
}

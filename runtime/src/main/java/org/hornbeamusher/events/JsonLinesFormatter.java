package org.hornbeamusher.events;

import java.time.LocalDateTime;
import java.time.ZoneOffset;
import java.util.logging.Formatter;
import java.util.logging.LogRecord;

/**
 * Writes each log record as one line of JSON.
 *
 * <p>An event keeps its fields; a record of a library, which is plain text, becomes the field
 * {@code message}. Every line has {@code time} (ISO 8601, UTC) and {@code level}.
 */
public final class JsonLinesFormatter extends Formatter {

  private static final int MILLIS_PER_SECOND = 1_000;
  private static final int NANOS_PER_MILLI = 1_000_000;
  private static final int USUAL_CHARACTERS = 512;

  /** Creates a formatter. */
  public JsonLinesFormatter() {}

  @Override
  public String format(LogRecord record) {
    StringBuilder line = new StringBuilder(USUAL_CHARACTERS).append("{\"time\":\"");
    time(line, record.getMillis());
    line.append("\",\"level\":\"").append(record.getLevel().getName()).append('"');
    String message = formatMessage(record);
    if (isEvent(record, message)) {
      line.append(',').append(message, 1, message.length() - 1);
    } else {
      field(line, "logger", record.getLoggerName());
      field(line, "message", message);
    }
    if (record.getThrown() != null) {
      field(line, "thrown", record.getThrown().toString());
    }
    return line.append("}\n").toString();
  }

  /** A record that is no event after all is kept as text, not lost. */
  private static boolean isEvent(LogRecord record, String message) {
    return EventLog.class.getName().equals(record.getLoggerName())
        && message.startsWith(EventLine.BEGIN)
        && message.endsWith("}");
  }

  private static void field(StringBuilder line, String name, String value) {
    line.append(",\"").append(name).append("\":");
    EventLine.text(line, String.valueOf(value));
  }

  /** Digit by digit: the formatters of the JDK cost more than the rest of the line. */
  private static void time(StringBuilder line, long epochMillis) {
    int millis = (int) Math.floorMod(epochMillis, MILLIS_PER_SECOND);
    LocalDateTime at =
        LocalDateTime.ofEpochSecond(
            Math.floorDiv(epochMillis, MILLIS_PER_SECOND),
            millis * NANOS_PER_MILLI,
            ZoneOffset.UTC);
    digits(line, at.getYear(), 4).append('-');
    digits(line, at.getMonthValue(), 2).append('-');
    digits(line, at.getDayOfMonth(), 2).append('T');
    digits(line, at.getHour(), 2).append(':');
    digits(line, at.getMinute(), 2).append(':');
    digits(line, at.getSecond(), 2).append('.');
    digits(line, millis, 3).append('Z');
  }

  private static StringBuilder digits(StringBuilder line, int number, int count) {
    String text = Integer.toString(number);
    for (int missing = count - text.length(); missing > 0; missing--) {
      line.append('0');
    }
    return line.append(text);
  }
}

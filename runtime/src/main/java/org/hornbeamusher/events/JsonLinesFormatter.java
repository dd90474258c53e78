package org.hornbeamusher.events;

import java.time.LocalDateTime;
import java.time.ZoneOffset;
import java.util.logging.Formatter;
import java.util.logging.LogRecord;

/**
 * Writes each log record as one line of JSON.
 *
 * <p>The fields of an event become fields of the line; the plain text that a library logs becomes
 * the field {@code message}. Every line has {@code time} (ISO 8601, UTC) and {@code level}.
 */
public final class JsonLinesFormatter extends Formatter {

  private static final int MILLIS_PER_SECOND = 1_000;
  private static final int NANOS_PER_MILLI = 1_000_000;
  private static final int INITIAL_CAPACITY = 512;

  /** Creates a formatter. */
  public JsonLinesFormatter() {}

  @Override
  public String format(LogRecord record) {
    StringBuilder line = new StringBuilder(INITIAL_CAPACITY).append("{\"time\":\"");
    appendTime(line, record.getMillis());
    line.append("\",\"level\":\"").append(record.getLevel().getName()).append('"');
    String message = formatMessage(record);
    if (isEvent(record, message)) {
      line.append(',').append(message, 1, message.length() - 1);
    } else {
      appendField(line, "logger", record.getLoggerName());
      appendField(line, "message", message);
    }
    if (record.getThrown() != null) {
      appendField(line, "thrown", record.getThrown().toString());
    }
    return line.append("}\n").toString();
  }

  /** Returns false for a record of the event logger that is not an event; it is written as text. */
  private static boolean isEvent(LogRecord record, String message) {
    return EventLog.class.getName().equals(record.getLoggerName())
        && message.startsWith(EventLine.EVENT_PREFIX)
        && message.endsWith("}");
  }

  private static void appendField(StringBuilder line, String name, String value) {
    line.append(",\"").append(name).append("\":");
    EventLine.appendQuoted(line, String.valueOf(value));
  }

  /** Appends digit by digit: the formatters of the JDK cost more than the rest of the line. */
  private static void appendTime(StringBuilder line, long epochMillis) {
    int millis = (int) Math.floorMod(epochMillis, MILLIS_PER_SECOND);
    LocalDateTime dateTime =
        LocalDateTime.ofEpochSecond(
            Math.floorDiv(epochMillis, MILLIS_PER_SECOND),
            millis * NANOS_PER_MILLI,
            ZoneOffset.UTC);
    appendDigits(line, dateTime.getYear(), 4).append('-');
    appendDigits(line, dateTime.getMonthValue(), 2).append('-');
    appendDigits(line, dateTime.getDayOfMonth(), 2).append('T');
    appendDigits(line, dateTime.getHour(), 2).append(':');
    appendDigits(line, dateTime.getMinute(), 2).append(':');
    appendDigits(line, dateTime.getSecond(), 2).append('.');
    appendDigits(line, millis, 3).append('Z');
  }

  private static StringBuilder appendDigits(StringBuilder line, int number, int count) {
    String text = Integer.toString(number);
    for (int missing = count - text.length(); missing > 0; missing--) {
      line.append('0');
    }
    return line.append(text);
  }
}

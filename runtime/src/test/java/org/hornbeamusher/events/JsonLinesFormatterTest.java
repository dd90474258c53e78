package org.hornbeamusher.events;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.time.Instant;
import java.util.logging.Level;
import java.util.logging.LogRecord;
import org.junit.jupiter.api.Test;

class JsonLinesFormatterTest {

  private static String format(String logger, String message) {
    LogRecord record = new LogRecord(Level.INFO, message);
    record.setLoggerName(logger);
    record.setInstant(Instant.ofEpochMilli(1_000));
    return new JsonLinesFormatter().format(record);
  }

  @Test
  void eventKeepsItsNumberAndFields() {
    String event = EventLine.format(EventType.PEER_LOST, "peer", "akl\"1", "silentMillis", 2_500L);
    assertEquals(
        "{\"time\":\"1970-01-01T00:00:01Z\",\"level\":\"INFO\",\"event\":1502,"
            + "\"name\":\"PEER_LOST\",\"peer\":\"akl\\\"1\",\"silentMillis\":2500}\n",
        format(EventLog.class.getName(), event));
  }

  /** A library logs a text over two lines; a reader of lines must still see one record. */
  @Test
  void textOfLibraryBecomesOneLine() {
    assertEquals(
        "{\"time\":\"1970-01-01T00:00:01Z\",\"level\":\"INFO\",\"logger\":\"org.xnio\","
            + "\"message\":\"a\\nb\"}\n",
        format("org.xnio", "a\nb"));
  }
}

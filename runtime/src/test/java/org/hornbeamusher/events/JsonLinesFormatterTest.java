package org.hornbeamusher.events;

import static org.junit.jupiter.api.Assertions.assertEquals;

import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.time.Instant;
import java.util.List;
import java.util.logging.Level;
import java.util.logging.LogRecord;
import java.util.stream.Stream;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
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
        "{\"time\":\"1970-01-01T00:00:01.000Z\",\"level\":\"INFO\",\"event\":1502,"
            + "\"name\":\"PEER_LOST\",\"peer\":\"akl\\\"1\",\"silentMillis\":2500}\n",
        format(EventLog.class.getName(), event));
  }

  /** A library logs a message of two lines; it must be written as one line. */
  @Test
  void multiLineMessageOfLibraryBecomesOneLine() {
    assertEquals(
        "{\"time\":\"1970-01-01T00:00:01.000Z\",\"level\":\"INFO\",\"logger\":\"org.xnio\","
            + "\"message\":\"a\\nb\"}\n",
        format("org.xnio", "a\nb"));
  }

  /** Includes a time before 1970, as of a clock that was never set. */
  @Test
  void timeIsFormattedWithMilliseconds() {
    assertEquals(
        List.of("1969-12-31T23:59:59.999Z", "2026-02-28T05:06:07.089Z"),
        Stream.of(-1L, 1_772_255_167_089L).map(JsonLinesFormatterTest::timeOf).toList());
  }

  private static String timeOf(long epochMillis) {
    LogRecord record = new LogRecord(Level.INFO, "a");
    record.setInstant(Instant.ofEpochMilli(epochMillis));
    return new JsonLinesFormatter().format(record).split("\"")[3];
  }

  /** Ids are chosen by callers; with any text in a field, a line must stay one JSON object. */
  @Property(seed = "7")
  void anyTextIsReadBackAsWritten(@ForAll String text) throws IOException {
    String line =
        format(EventLog.class.getName(), EventLine.format(EventType.PEER_LOST, "a", text));
    assertEquals(line.length() - 1, line.indexOf('\n'));
    assertEquals(text, new ObjectMapper().readTree(line).get("a").asText());
  }

  /** A message of the event logger that is not an event is written as text. */
  @Test
  void recordThatIsNotAnEventIsWrittenAsText() {
    assertEquals(
        "{\"time\":\"1970-01-01T00:00:01.000Z\",\"level\":\"INFO\",\"logger\":\""
            + EventLog.class.getName()
            + "\",\"message\":\"{\\\"events\"}\n",
        format(EventLog.class.getName(), "{\"events"));
  }
}

package org.hornbeamusher.explain;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.time.Instant;
import java.time.format.DateTimeParseException;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;

/**
 * One event in a process's log.
 *
 * @param source the file that contains the line
 * @param millis Unix time in milliseconds by the clock of the process that logged it
 * @param name the event's name
 * @param fields the event's own fields, in the order of the line
 */
public record LogLine(String source, long millis, String name, Map<String, String> fields) {

  private static final ObjectMapper JSON = new ObjectMapper();
  private static final String TIME = "time";
  private static final String NAME = "name";

  /** Copies the fields. */
  public LogLine {
    fields = java.util.Collections.unmodifiableMap(new LinkedHashMap<>(fields));
  }

  /**
   * Parses a line. A prefix written by a log collector is skipped.
   *
   * @param source the file that contains the line
   * @param text the line
   * @return the event; empty when the line contains none
   */
  public static Optional<LogLine> parse(String source, String text) {
    int start = text.indexOf('{');
    if (start < 0) {
      return Optional.empty();
    }
    try {
      JsonNode json = JSON.readTree(text.substring(start));
      if (!json.path(TIME).isTextual() || !json.path(NAME).isTextual()) {
        return Optional.empty();
      }
      Map<String, String> fields = new LinkedHashMap<>();
      json.fields()
          .forEachRemaining(field -> fields.put(field.getKey(), field.getValue().asText()));
      fields.keySet().removeAll(java.util.Set.of(TIME, NAME, "level", "event"));
      long millis = Instant.parse(json.path(TIME).asText()).toEpochMilli();
      return Optional.of(new LogLine(source, millis, json.path(NAME).asText(), fields));
    } catch (JsonProcessingException | DateTimeParseException e) {
      // A truncated line, or one of another program.
      return Optional.empty();
    }
  }

  /**
   * Returns the value of a field.
   *
   * @param name the field's name
   * @return the value; empty when the event has no such field
   */
  public String field(String name) {
    return fields.getOrDefault(name, "");
  }

  @Override
  public String toString() {
    StringBuilder text = new StringBuilder();
    text.append(Instant.ofEpochMilli(millis)).append(' ').append(source).append(' ').append(name);
    fields.forEach((key, value) -> text.append(' ').append(key).append('=').append(value));
    return text.toString();
  }
}

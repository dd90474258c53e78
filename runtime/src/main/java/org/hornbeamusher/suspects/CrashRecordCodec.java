package org.hornbeamusher.suspects;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.hornbeamusher.ids.EndpointId;
import org.hornbeamusher.ids.EndpointIncarnation;
import org.hornbeamusher.quarantine.CrashRecord;
import org.hornbeamusher.quarantine.CrashSuspect;
import org.hornbeamusher.quarantine.EndInterval;

/** Encodes crash records as JSON, for rows of the table and for messages between processes. */
public final class CrashRecordCodec {

  private static final ObjectMapper JSON = new ObjectMapper();

  private CrashRecordCodec() {}

  /**
   * Encodes a record.
   *
   * @param record the record
   * @return JSON in UTF-8
   */
  public static byte[] encode(CrashRecord record) {
    ObjectNode json = JSON.createObjectNode().put("content", record.suspect().toString());
    ArrayNode crashes = json.putArray("crashes");
    for (CrashRecord.Crash crash : record.crashes()) {
      crashes
          .addObject()
          .put("endpoint", crash.endpoint().id().value())
          .put("start_ms", crash.endpoint().startMillis())
          .put("cleared", crash.cleared())
          .put("ended_after_ms", crash.ended().afterMillis())
          .put("ended_before_ms", crash.ended().beforeMillis())
          .put("clock", crash.ended().estimate());
    }
    return json.toString().getBytes(StandardCharsets.UTF_8);
  }

  /**
   * Decodes a record.
   *
   * @param bytes JSON in UTF-8
   * @return empty if it is not a record
   */
  public static Optional<CrashRecord> decode(byte[] bytes) {
    try {
      JsonNode json = JSON.readTree(bytes);
      Optional<CrashSuspect> suspect = CrashSuspect.parse(json.path("content").asText());
      List<CrashRecord.Crash> crashes = new ArrayList<>();
      for (JsonNode crash : json.path("crashes")) {
        crashes.add(
            new CrashRecord.Crash(
                new EndpointIncarnation(
                    new EndpointId(crash.path("endpoint").asText()),
                    crash.path("start_ms").asLong(EndpointIncarnation.UNKNOWN_START)),
                crash.path("cleared").asBoolean(),
                ended(crash)));
      }
      return suspect
          .filter(unused -> !crashes.isEmpty())
          .map(known -> new CrashRecord(known, crashes));
    } catch (IOException | IllegalArgumentException e) {
      return Optional.empty();
    }
  }

  /** Returns the time of a crash; unknown in records of releases that did not state it. */
  private static EndInterval ended(JsonNode crash) {
    return crash.has("ended_after_ms") || crash.has("ended_before_ms")
        ? new EndInterval(
            millis(crash.path("ended_after_ms")),
            millis(crash.path("ended_before_ms")),
            crash.path("clock").asInt(EndInterval.UNKNOWN_ESTIMATE))
        : EndInterval.UNKNOWN;
  }

  private static long millis(JsonNode time) {
    if (!time.isIntegralNumber() || !time.canConvertToLong()) {
      throw new IllegalArgumentException("not a time: " + time);
    }
    return time.longValue();
  }
}

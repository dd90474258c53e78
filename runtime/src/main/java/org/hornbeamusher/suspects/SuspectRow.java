package org.hornbeamusher.suspects;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import org.hornbeamusher.failure.FailureType;
import org.hornbeamusher.failure.HornbeamusherException;

/**
 * The table row of one suspect.
 *
 * @param crashes number of endpoints that crashed while running it
 * @param lastCrashMillis time of the last crash, in milliseconds
 * @param runningUntilMillis time until which one entry has the exclusive right to run it; 0 when
 *     none has
 */
record SuspectRow(int crashes, long lastCrashMillis, long runningUntilMillis) {

  private static final ObjectMapper JSON = new ObjectMapper();

  SuspectRow withCrashAt(long now) {
    return new SuspectRow(crashes + 1, now, 0);
  }

  SuspectRow withRunningUntil(long millis) {
    return new SuspectRow(crashes, lastCrashMillis, millis);
  }

  byte[] encode() {
    ObjectNode json = JSON.createObjectNode();
    json.put("crashes", crashes);
    json.put("last_crash", lastCrashMillis);
    json.put("running_until", runningUntilMillis);
    return json.toString().getBytes(StandardCharsets.UTF_8);
  }

  static SuspectRow decode(byte[] value) {
    try {
      JsonNode json = JSON.readTree(value);
      return new SuspectRow(
          json.path("crashes").asInt(),
          json.path("last_crash").asLong(),
          json.path("running_until").asLong());
    } catch (IOException e) {
      throw HornbeamusherException.notRun(FailureType.PLATFORM_MALFORMED, e.getMessage())
          .causedBy(e);
    }
  }
}

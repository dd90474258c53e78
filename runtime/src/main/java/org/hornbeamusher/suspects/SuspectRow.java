package org.hornbeamusher.suspects;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import org.hornbeamusher.failure.FailureType;
import org.hornbeamusher.failure.HornbeamusherException;

/**
 * The row of one suspect.
 *
 * @param crashes endpoints that crashed while they ran it
 * @param lastCrashMillis when the latest did
 * @param runningUntilMillis until when one entry alone may run it; 0 when none does
 */
record SuspectRow(int crashes, long lastCrashMillis, long runningUntilMillis) {

  private static final ObjectMapper JSON = new ObjectMapper();

  SuspectRow crashedAt(long now) {
    return new SuspectRow(crashes + 1, now, 0);
  }

  SuspectRow runningUntil(long millis) {
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

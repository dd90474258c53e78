package org.hornbeamusher.suspects;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Optional;
import org.hornbeamusher.ids.EndpointId;
import org.hornbeamusher.ids.EndpointIncarnation;
import org.hornbeamusher.quarantine.CrashRecord;
import org.hornbeamusher.quarantine.EndInterval;
import org.hornbeamusher.quarantine.PromptPartId;
import org.junit.jupiter.api.Test;

class CrashRecordCodecTest {

  private static final EndpointIncarnation ENDPOINT =
      new EndpointIncarnation(new EndpointId("e-1"), 5);

  /** Guards against rows and messages that lose when the endpoints ended. */
  @Test
  void recordKeepsTheTimesOfItsCrashes() {
    EndInterval ended = new EndInterval(1_764_000_000_000L, 1_764_000_000_100L, 7);
    CrashRecord record = record(new CrashRecord.Crash(ENDPOINT, false, ended));
    assertEquals(Optional.of(record), CrashRecordCodec.decode(CrashRecordCodec.encode(record)));
  }

  /** Guards against a quarantine that ends with the release that wrote it. */
  @Test
  void recordWithoutTimesIsRead() {
    assertEquals(
        Optional.of(record(new CrashRecord.Crash(ENDPOINT, true))), decode("\"cleared\":true"));
  }

  /** Guards against a bad time that is taken for a time at which many endpoints ended. */
  @Test
  void recordWithBadTimesIsUnreadable() {
    for (String bad :
        List.of(
            "\"ended_after_ms\":\"x\",\"ended_before_ms\":5",
            "\"ended_after_ms\":-1,\"ended_before_ms\":5",
            "\"ended_after_ms\":1.5,\"ended_before_ms\":5",
            "\"ended_after_ms\":1,\"ended_before_ms\":99999999999999999999",
            "\"ended_before_ms\":5",
            "\"ended_after_ms\":null,\"ended_before_ms\":5")) {
      assertEquals(Optional.empty(), decode(bad), bad);
    }
  }

  private static CrashRecord record(CrashRecord.Crash crash) {
    return new CrashRecord(PromptPartId.of("5c1e07a2"), List.of(crash));
  }

  private static Optional<CrashRecord> decode(String fields) {
    String json =
        "{\"content\":\"part-5c1e07a2\",\"crashes\":[{\"endpoint\":\"e-1\",\"start_ms\":5,"
            + fields
            + "}]}";
    return CrashRecordCodec.decode(json.getBytes(StandardCharsets.UTF_8));
  }
}

package org.hornbeamusher.forwarding;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Set;
import org.hornbeamusher.ids.EndpointId;
import org.hornbeamusher.ids.EndpointIncarnation;
import org.hornbeamusher.loop.SimulatedLoop;
import org.hornbeamusher.quarantine.CrashHistory;
import org.hornbeamusher.quarantine.PromptPartId;
import org.hornbeamusher.quarantine.QuarantineSettings;
import org.hornbeamusher.suspects.CrashRecordTable;
import org.hornbeamusher.table.InMemoryTable;
import org.junit.jupiter.api.Test;

class CrashReportsTest {

  private static final PromptPartId PART = PromptPartId.of("5c1e07a2");
  private static final long DAY_MILLIS = 24L * 60 * 60 * 1_000;
  private static final long HOUR_MILLIS = 60L * 60 * 1_000;

  /** Guards against a quarantine that ends only when another endpoint crashes. */
  @Test
  void quarantineOfPartEndsOneDayAfterItsLastCrash() {
    SimulatedLoop loop = new SimulatedLoop();
    CrashHistory history = new CrashHistory(QuarantineSettings.WITHOUT_ISOLATION);
    new CrashReports(
        history,
        new CrashRecordTable(new InMemoryTable()),
        (agent, message) -> {},
        loop,
        loop.clock());
    for (int i = 0; i < QuarantineSettings.WITHOUT_ISOLATION.crashLimit(); i++) {
      EndpointIncarnation endpoint = new EndpointIncarnation(new EndpointId("e-" + i), 0);
      history.recordCrash(PART, endpoint, loop.clock().millis());
    }
    loop.runUntil(DAY_MILLIS - HOUR_MILLIS);
    assertTrue(history.isQuarantined(PART, 0));
    loop.runUntil(DAY_MILLIS + HOUR_MILLIS);
    assertFalse(history.isQuarantined(PART, 0));
    assertEquals(Set.of(), history.quarantined());
  }
}

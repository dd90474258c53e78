package org.hornbeamusher.recovery;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class StoreConcurrencyLimitTest {

  /** Loads last longer in proportion beyond the number that the store serves at full speed. */
  @ParameterizedTest
  @CsvSource({"12, 288", "24, 288", "32, 250", "100, 250", "24, 700"})
  void limitApproachesWhatTheStoreServesAtFullSpeed(int fullSpeedLoads, double loadMillis) {
    StoreConcurrencyLimit limit = new StoreConcurrencyLimit();
    int loads = 0;
    for (; loads < 10_000; loads++) {
      double took = loadMillis * Math.max(1, (double) limit.value() / fullSpeedLoads);
      limit.loadCompleted(Math.round(took), limit.value());
    }
    assertTrue(limit.value() >= 0.8 * fullSpeedLoads, "limit " + limit.value());
    assertTrue(limit.value() <= 1.6 * fullSpeedLoads, "limit " + limit.value());
  }

  @Test
  void idleStoreDoesNotRaiseTheLimit() {
    StoreConcurrencyLimit limit = new StoreConcurrencyLimit();
    for (int i = 0; i < 30; i++) {
      limit.loadCompleted(300, 3);
    }
    assertEquals(StoreConcurrencyLimit.INITIAL, limit.value());
  }
}

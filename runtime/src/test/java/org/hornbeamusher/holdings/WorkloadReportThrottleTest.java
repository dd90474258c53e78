package org.hornbeamusher.holdings;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import org.junit.jupiter.api.Test;

class WorkloadReportThrottleTest {

  private static final int FEW_ENTRIES = 5;
  private static final int MANY_ENTRIES = 33;

  /** The interval at which an agent calls its throttle. */
  private static final long STEP_MILLIS = 60;

  private final WorkloadReportThrottle throttle = new WorkloadReportThrottle();

  @Test
  void longPromptIsReportedAtOnceAndWhenProcessed() {
    assertTrue(throttle.tryReport(new EngineWorkload(0, 0, 7, 0), MANY_ENTRIES, 0));
    assertTrue(throttle.tryReport(new EngineWorkload(1, 9_190, 7, 0), MANY_ENTRIES, 60));
    assertTrue(throttle.tryReport(new EngineWorkload(1, 0, 7, 0), MANY_ENTRIES, 120));
  }

  @Test
  void lastFreeSlotIsReportedAtOnce() {
    throttle.tryReport(new EngineWorkload(3, 0, 1, 0), MANY_ENTRIES, 0);
    assertTrue(throttle.tryReport(new EngineWorkload(3, 0, 0, 0), MANY_ENTRIES, 60));
  }

  /** A small change is reported within a bounded time, and only once. */
  @Test
  void smallChangeIsReportedLater() {
    throttle.tryReport(new EngineWorkload(0, 0, 7, 0), MANY_ENTRIES, 0);
    EngineWorkload load = new EngineWorkload(1, 200, 7, 0);
    assertFalse(throttle.tryReport(load, MANY_ENTRIES, 60));
    long due = throttle.dueMillis(MANY_ENTRIES);
    assertFalse(throttle.tryReport(load, MANY_ENTRIES, due - 1));
    assertTrue(throttle.tryReport(load, MANY_ENTRIES, due));
    assertFalse(throttle.tryReport(load, MANY_ENTRIES, due + 10_000));
    assertEquals(Long.MAX_VALUE, throttle.dueMillis(MANY_ENTRIES));
  }

  /** A change that was reverted before its report was due needs no report. */
  @Test
  void revertedChangeIsNotReported() {
    throttle.tryReport(new EngineWorkload(0, 0, 7, 0), MANY_ENTRIES, 0);
    throttle.tryReport(new EngineWorkload(1, 200, 7, 0), MANY_ENTRIES, 60);
    assertFalse(throttle.tryReport(new EngineWorkload(0, 0, 7, 0), MANY_ENTRIES, 10_000));
  }

  /** With few entries each places requests often and receives every change. */
  @Test
  void fewEntriesReceiveEachChange() {
    for (int i = 0; i < 10; i++) {
      assertTrue(throttle.tryReport(new EngineWorkload(i, 0, 7, 0), FEW_ENTRIES, i * STEP_MILLIS));
    }
  }

  /**
   * Simulates one minute at one of 42 engines with four requests per second, two in five with a
   * long prompt. One of 33 entries places about eight requests per second. It must receive at most
   * half as many reports as there are changes, and its view may be off by 0.1 s of prompt
   * processing in at most one of fifty samples.
   */
  @Test
  void manyEntriesReceiveHalfTheChangesWithSmallError() {
    Random random = new Random(5);
    List<long[]> runs = new ArrayList<>();
    EngineWorkload reported = new EngineWorkload(0, 0, 7, 0);
    EngineWorkload before = reported;
    int changes = 0;
    int messages = 0;
    int wrong = 0;
    int samples = 0;
    for (long now = 0; now < 60_000; now += STEP_MILLIS, samples++) {
      if (random.nextInt(1_000) < 4 * STEP_MILLIS) {
        boolean longPrompt = random.nextInt(5) < 2;
        long tokens = longPrompt ? 9_190 : 630;
        runs.add(new long[] {now + tokens / 44, now + (longPrompt ? 900 : 2_000), tokens});
      }
      long time = now;
      runs.removeIf(run -> run[1] <= time);
      long unread = runs.stream().filter(run -> run[0] > time).mapToLong(run -> run[2]).sum();
      EngineWorkload load = new EngineWorkload(runs.size(), unread, 7, 0);
      changes += load.equals(before) ? 0 : 1;
      before = load;
      if (throttle.tryReport(load, MANY_ENTRIES, now)) {
        messages++;
        reported = load;
      }
      wrong +=
          Math.abs(reported.pendingPromptTokens() - load.pendingPromptTokens()) >= 4_400 ? 1 : 0;
    }
    assertTrue(messages * 2 <= changes, messages + " of " + changes);
    assertTrue(wrong * 50 <= samples, wrong + " of " + samples);
  }
}

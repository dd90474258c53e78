package org.hornbeamusher.holdings;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import org.junit.jupiter.api.Test;

class LoadReportThrottleTest {

  private static final int FEW = 5;
  private static final int MANY = 33;

  /** The interval at which an agent calls its throttle. */
  private static final long STEP_MILLIS = 60;

  private final LoadReportThrottle throttle = new LoadReportThrottle();

  @Test
  void longPromptIsToldAtOnceAndWhenItHasBeenRead() {
    assertTrue(throttle.pass(new EngineLoad(0, 0, 7), MANY, 0));
    assertTrue(throttle.pass(new EngineLoad(1, 9_190, 7), MANY, 60));
    assertTrue(throttle.pass(new EngineLoad(1, 0, 7), MANY, 120));
  }

  @Test
  void lastFreePlaceIsToldAtOnce() {
    throttle.pass(new EngineLoad(3, 0, 1), MANY, 0);
    assertTrue(throttle.pass(new EngineLoad(3, 0, 0), MANY, 60));
  }

  /** A small change is reported within a bounded time, and only once. */
  @Test
  void smallChangeIsToldLater() {
    throttle.pass(new EngineLoad(0, 0, 7), MANY, 0);
    EngineLoad load = new EngineLoad(1, 200, 7);
    assertFalse(throttle.pass(load, MANY, 60));
    long due = throttle.dueMillis(MANY);
    assertFalse(throttle.pass(load, MANY, due - 1));
    assertTrue(throttle.pass(load, MANY, due));
    assertFalse(throttle.pass(load, MANY, due + 10_000));
    assertEquals(Long.MAX_VALUE, throttle.dueMillis(MANY));
  }

  /** A change that was reverted before its report was due needs no report. */
  @Test
  void changeThatWasTakenBackIsNotTold() {
    throttle.pass(new EngineLoad(0, 0, 7), MANY, 0);
    throttle.pass(new EngineLoad(1, 200, 7), MANY, 60);
    assertFalse(throttle.pass(new EngineLoad(0, 0, 7), MANY, 10_000));
  }

  /** With few entries each places requests often and receives every change. */
  @Test
  void fewEntriesHearOfEachChange() {
    for (int i = 0; i < 10; i++) {
      assertTrue(throttle.pass(new EngineLoad(i, 0, 7), FEW, i * STEP_MILLIS));
    }
  }

  /**
   * Simulates one minute at one of 42 engines with four requests per second, two in five with a
   * long prompt. One of 33 entries places about eight requests per second. It must receive at most
   * half as many reports as there are changes, and its view may be off by 0.1 s of prompt
   * processing in at most one of fifty samples.
   */
  @Test
  void entryOfManyHearsHalfAsOftenAndIsHardlyEverWrong() {
    Random random = new Random(5);
    List<long[]> runs = new ArrayList<>();
    EngineLoad told = new EngineLoad(0, 0, 7);
    EngineLoad before = told;
    int changes = 0;
    int messages = 0;
    int wrong = 0;
    int looks = 0;
    for (long now = 0; now < 60_000; now += STEP_MILLIS, looks++) {
      if (random.nextInt(1_000) < 4 * STEP_MILLIS) {
        boolean longPrompt = random.nextInt(5) < 2;
        long tokens = longPrompt ? 9_190 : 630;
        runs.add(new long[] {now + tokens / 44, now + (longPrompt ? 900 : 2_000), tokens});
      }
      long time = now;
      runs.removeIf(run -> run[1] <= time);
      long unread = runs.stream().filter(run -> run[0] > time).mapToLong(run -> run[2]).sum();
      EngineLoad load = new EngineLoad(runs.size(), unread, 7);
      changes += load.equals(before) ? 0 : 1;
      before = load;
      if (throttle.pass(load, MANY, now)) {
        messages++;
        told = load;
      }
      wrong += Math.abs(told.unreadTokens() - load.unreadTokens()) >= 4_400 ? 1 : 0;
    }
    assertTrue(messages * 2 <= changes, messages + " of " + changes);
    assertTrue(wrong * 50 <= looks, wrong + " of " + looks);
  }
}

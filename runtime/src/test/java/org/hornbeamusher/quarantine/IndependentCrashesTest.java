package org.hornbeamusher.quarantine;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.hornbeamusher.ids.EndpointId;
import org.hornbeamusher.ids.EndpointIncarnation;
import org.junit.jupiter.api.Test;

class IndependentCrashesTest {

  private static final PromptPartId PART = PromptPartId.of("5c1e07a2");
  private static final RequestContent CONTENT = new RequestContent(7, 20);
  private static final long START_MILLIS = 1_764_000_000_000L;
  private static final int ESTIMATE = 1;
  private static final int OTHER_ESTIMATE = 2;

  /** Guards against a quarantine because many endpoints lost power at one time. */
  @Test
  void endsThatMayBeSimultaneousCountOnce() {
    List<CrashRecord.Crash> crashes = new ArrayList<>();
    for (int i = 0; i < 10; i++) {
      crashes.add(crash(i, -i * 100, 1 + i * 300));
    }
    assertEquals(1, IndependentCrashes.count(PART, crashes));
    assertEquals(1, IndependentCrashes.count(CONTENT, crashes));
  }

  /** Guards against a quarantine because the processes of a zone end one shortly after another. */
  @Test
  void partsNeedEndsThatLieFurtherApart() {
    List<CrashRecord.Crash> crashes = List.of(crash(1, 0, 5), crash(2, 6, 10), crash(3, 90, 95));
    assertEquals(1, IndependentCrashes.count(PART, crashes));
    assertEquals(3, IndependentCrashes.count(CONTENT, crashes));
  }

  /** Guards against a cause that escapes because its crashes are taken for one. */
  @Test
  void endsOneAfterTheOtherCountEach() {
    List<CrashRecord.Crash> crashes =
        List.of(crash(1, 0, 50), crash(2, 300, 350), crash(3, 310, 360), crash(4, 700, 800));
    assertEquals(3, IndependentCrashes.count(PART, crashes));
  }

  /** Guards against ends at one time that look like several because estimates of a clock differ. */
  @Test
  void endsNoticedByDifferentProcessesMustDifferByMoreThanTheClockError() {
    long error = IndependentCrashes.CLOCK_ERROR_MILLIS;
    CrashRecord.Crash first = crash(1, 0, 5, ESTIMATE);
    CrashRecord.Crash tooEarly = crash(2, 5 + error - 1, 60, OTHER_ESTIMATE);
    CrashRecord.Crash late = crash(2, 5 + error, 60, OTHER_ESTIMATE);
    assertEquals(1, IndependentCrashes.count(CONTENT, List.of(first, tooEarly)));
    assertEquals(2, IndependentCrashes.count(CONTENT, List.of(first, late)));
  }

  /** Guards against retries of one entry that count less because of a crash at another entry. */
  @Test
  void crashNoticedElsewhereDoesNotReduceTheCount() {
    List<CrashRecord.Crash> retries =
        List.of(crash(1, 0, 80), crash(2, 80, 160), crash(3, 160, 240));
    List<CrashRecord.Crash> all = new ArrayList<>(retries);
    all.add(crash(4, 0, 79, OTHER_ESTIMATE));
    assertEquals(3, IndependentCrashes.count(CONTENT, retries));
    assertEquals(3, IndependentCrashes.count(CONTENT, all));
  }

  /** Guards against times of two processes that compare exactly after a merge. */
  @Test
  void endNoticedByTwoProcessesHasNoCommonEstimate() {
    CrashRecord merged =
        new CrashRecord(CONTENT, List.of(crash(1, 0, 5), crash(2, 6, 10)))
            .mergedWith(new CrashRecord(CONTENT, List.of(crash(1, 0, 5, OTHER_ESTIMATE))));
    assertEquals(1, merged.independentCrashes());
  }

  @Test
  void crashesAtUnknownTimesCountEach() {
    List<CrashRecord.Crash> crashes =
        List.of(crash(1, 0, 50), crash(2, 0, 50), new CrashRecord.Crash(endpoint(3), false));
    assertEquals(2, IndependentCrashes.count(PART, crashes));
  }

  /** Guards against processes that count differently because they heard of ends in other orders. */
  @Property(tries = 200, seed = "12")
  void countDoesNotDependOnTheOrderOfMerges(
      @ForAll @IntRange(max = 1_000) int seed, @ForAll @IntRange(min = 1, max = 8) int count) {
    Random random = new Random(seed);
    List<CrashRecord> records = new ArrayList<>();
    for (int i = 0; i < count; i++) {
      int from = random.nextInt(2_000);
      CrashRecord.Crash crash = crash(random.nextInt(5), from, from + random.nextInt(500));
      records.add(new CrashRecord(PART, List.of(crash)));
    }
    int independent = independentAfter(records);
    Collections.shuffle(records, random);
    records.addAll(List.copyOf(records));
    assertEquals(independent, independentAfter(records));
  }

  private static int independentAfter(List<CrashRecord> records) {
    CrashHistory merged = new CrashHistory(QuarantineSettings.WITHOUT_ISOLATION);
    records.forEach(record -> merged.merge(record, 0));
    return merged.find(PART).orElseThrow().independentCrashes();
  }

  /** Guards against refusing a content before it is known whether the endpoints ended. */
  @Test
  void unconfirmedCrashesMayHaveTheCauseOfConfirmedOnes() {
    CrashHistory history = new CrashHistory(QuarantineSettings.WITHOUT_ISOLATION);
    history.recordCrash(CONTENT, crash(1, 0, 50), 0);
    history.recordCrash(CONTENT, crash(2, 20, 60), 0);
    assertFalse(history.isQuarantined(CONTENT, List.of(crash(3, 30, 70), crash(4, 40, 80))));
    assertTrue(history.isQuarantined(CONTENT, List.of(crash(3, 51, 70), crash(4, 71, 80))));
  }

  /** Guards against refusing all requests with a part because one cause ended many endpoints. */
  @Test
  void crashesLeftByAnotherSuspectCountOnceIfTheyMayBeSimultaneous() {
    CrashHistory history = new CrashHistory(QuarantineSettings.WITHOUT_ISOLATION);
    PromptPartId cause = PromptPartId.of("b2");
    for (int i = 0; i < 3; i++) {
      history.recordCrash(PART, crash(i, i * 1_000, i * 1_000 + 10), 0);
      history.recordCrash(cause, crash(i, i * 1_000, i * 1_000 + 10), 0);
      history.recordCrash(PART, crash(10 + i, 9_000, 9_100), 0);
    }
    PromptPartQuarantine quarantine = new PromptPartQuarantine(3, history::openCrashes);
    assertEquals(Optional.empty(), quarantine.refusedPart(List.of(PART), history.quarantined()));
    assertEquals(
        Optional.of(cause), quarantine.refusedPart(List.of(PART, cause), history.quarantined()));
  }

  @Test
  void negativeTimesAreRejected() {
    assertThrows(IllegalArgumentException.class, () -> new EndInterval(-1, 0, ESTIMATE));
    assertThrows(IllegalArgumentException.class, () -> new EndInterval(0, -1, ESTIMATE));
  }

  private static CrashRecord.Crash crash(int endpoint, long after, long before) {
    return crash(endpoint, after, before, ESTIMATE);
  }

  private static CrashRecord.Crash crash(int endpoint, long after, long before, int estimate) {
    EndInterval ended = new EndInterval(START_MILLIS + after, START_MILLIS + before, estimate);
    return new CrashRecord.Crash(endpoint(endpoint), false, ended);
  }

  private static EndpointIncarnation endpoint(int number) {
    return new EndpointIncarnation(new EndpointId("e-" + number), 0);
  }
}

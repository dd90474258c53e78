package org.hornbeamusher.quarantine;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
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

class CrashHistoryTest {

  private static final QuarantineSettings SETTINGS = QuarantineSettings.WITHOUT_ISOLATION;
  private static final RequestContent CONTENT = new RequestContent(7, 20);
  private static final RequestContent OTHER = new RequestContent(8, 30);
  private static final PromptPartId PART = PromptPartId.of("5C1E07a2");

  private final CrashHistory history = new CrashHistory(SETTINGS);

  @Test
  void contentIsQuarantinedAfterTheLimit() {
    crash(CONTENT, 1, 2);
    assertFalse(history.isQuarantined(CONTENT, 0));
    assertTrue(history.isQuarantined(CONTENT, 1), "an unconfirmed crash counts");
    crash(CONTENT, 3);
    assertTrue(history.isQuarantined(CONTENT, 0));
    assertFalse(history.isQuarantined(OTHER, 0));
  }

  /** Guards against counting one crash for each process that reports it. */
  @Test
  void crashOfOneIncarnationCountsOnce() {
    crash(CONTENT, 1, 1, 1);
    EndpointIncarnation withStart = new EndpointIncarnation(new EndpointId("e-1"), 5_000);
    assertEquals(Optional.empty(), history.recordCrash(CONTENT, withStart, 0));
    assertFalse(history.isQuarantined(CONTENT, 0));
  }

  /** Guards against refusing a request because others crashed the endpoints that it ran on. */
  @Test
  void completedRequestClearsItsCrashes() {
    crash(CONTENT, 1, 2);
    history.clear(CONTENT, 0);
    crash(CONTENT, 3, 1, 2);
    assertFalse(history.isQuarantined(CONTENT, 0));
    crash(CONTENT, 4, 5);
    assertTrue(history.isQuarantined(CONTENT, 0));
  }

  /** Guards against quarantine by a report of crashes that another process has cleared. */
  @Property(tries = 200, seed = "11")
  void mergedRecordsDoNotDependOnTheirOrder(
      @ForAll @IntRange(max = 1_000) int seed, @ForAll @IntRange(min = 1, max = 8) int count) {
    Random random = new Random(seed);
    List<CrashRecord> records = new ArrayList<>();
    for (int i = 0; i < count; i++) {
      boolean cleared = random.nextInt(3) == 0;
      records.add(
          new CrashRecord(
              CONTENT, List.of(new CrashRecord.Crash(endpoint(random.nextInt(5)), cleared))));
    }
    int open = openCrashesAfter(records);
    Collections.shuffle(records, random);
    records.addAll(List.copyOf(records));
    assertEquals(open, openCrashesAfter(records));
  }

  private static int openCrashesAfter(List<CrashRecord> records) {
    CrashHistory merged = new CrashHistory(SETTINGS);
    records.forEach(record -> merged.merge(record, 0));
    return merged.find(CONTENT).orElseThrow().openCrashes();
  }

  /** Guards against a content that many requests share and that collects every crash. */
  @Test
  void recordKeepsTheNewestCrashes() {
    for (int i = 0; i < 100; i++) {
      crash(CONTENT, i);
      history.clear(CONTENT, 0);
    }
    CrashRecord record = history.find(CONTENT).orElseThrow();
    assertEquals(CrashRecord.MAX_CRASHES, record.crashes().size());
    assertEquals(0, record.openCrashes());
  }

  /** Guards against crashes that a single failure of an endpoint clears. */
  @Test
  void onlySeveralFailuresClearTheCrashes() {
    crash(CONTENT, 1);
    for (int i = 0; i < 9; i++) {
      assertEquals(Optional.empty(), history.recordFailedResponse(CONTENT, 0));
    }
    crash(CONTENT, 2);
    assertEquals(2, history.openCrashes(CONTENT).size());
    assertTrue(history.recordFailedResponse(CONTENT, 0).isPresent());
    assertEquals(0, history.openCrashes(CONTENT).size());
    crash(CONTENT, 3);
    assertEquals(Optional.empty(), history.recordFailedResponse(CONTENT, 0));
  }

  @Test
  void recordsExpire() {
    crash(CONTENT, 1);
    crash(OTHER, 1, 2, 3);
    assertEquals(List.of(CONTENT), history.removeExpired(SETTINGS.suspectMillis()));
    assertFalse(history.mayContain(CONTENT.bodyBytes()));
    assertTrue(history.isQuarantined(OTHER, 0));
    assertEquals(List.of(OTHER), history.removeExpired(SETTINGS.quarantineMillis()));
  }

  @Test
  void oldestRecordsAreRemovedBeyondTheCapacity() {
    CrashHistory small = new CrashHistory(new QuarantineSettings(3, 1_000, 1_000, 2));
    for (int i = 0; i < 5; i++) {
      small.recordCrash(new RequestContent(i, i), endpoint(1), 0);
    }
    assertEquals(3, small.removeExpired(0).size());
    assertTrue(small.find(new RequestContent(4, 4)).isPresent());
    assertEquals(2, small.openRecords().size());
  }

  /** Guards against a quarantine that ends because many other endpoints crash. */
  @Test
  void quarantinedRecordsAreRemovedLastBeyondTheCapacity() {
    CrashHistory small = new CrashHistory(new QuarantineSettings(3, 1_000, 1_000, 2));
    for (int i = 0; i < 3; i++) {
      small.recordCrash(CONTENT, endpoint(i), 0);
    }
    for (int i = 10; i < 15; i++) {
      small.recordCrash(new RequestContent(i, i), endpoint(1), 0);
    }
    assertEquals(4, small.removeExpired(0).size());
    assertTrue(small.isQuarantined(CONTENT, 0));
  }

  /** Guards against refusing a shared part because endpoints end for other causes. */
  @Test
  void partThatWasAnsweredRecentlyCollectsNoCrashes() {
    history.recordSurvival(PART, 0);
    crash(PART, 1, 2, 3);
    assertFalse(history.isQuarantined(PART, 0));
    assertFalse(history.hasOpenParts());
  }

  @Test
  void answerClearsTheCrashesOfItsParts() {
    crash(PART, 1, 2, 3);
    assertTrue(history.isQuarantined(PART, 0));
    assertTrue(history.recordSurvival(PART, 0).isPresent());
    assertFalse(history.isQuarantined(PART, 0));
    assertEquals(Optional.empty(), history.recordSurvival(PART, 0));
  }

  /** Guards against refusing a part at processes that have not seen it answered. */
  @Test
  void recordOfPartThatWasAnsweredElsewhereIsCorrected() {
    history.recordSurvival(PART, 0);
    CrashHistory restarted = new CrashHistory(SETTINGS);
    CrashRecord open = restarted.recordCrash(PART, endpoint(1), 0).orElseThrow();
    history.merge(open, 0);
    CrashRecord correction = history.correction(open).orElseThrow();
    restarted.merge(correction, 0);
    assertFalse(restarted.hasOpenParts());
    assertEquals(Optional.empty(), restarted.correction(correction));
  }

  @Test
  void quarantineOfPartExpiresEarlierThanThatOfContent() {
    crash(PART, 1, 2, 3);
    crash(CONTENT, 1, 2, 3);
    assertEquals(List.of(PART), history.removeExpired(SETTINGS.suspectMillis()));
    assertFalse(history.hasOpenParts());
    assertTrue(history.isQuarantined(CONTENT, 0));
  }

  @Test
  void suspectIsParsedFromItsText() {
    PromptPartId large = PromptPartId.of("f".repeat(20_000));
    assertTrue(large.toString().length() < 200, "too long for the key of a row");
    for (CrashSuspect suspect : List.of(CONTENT, PART, large)) {
      assertEquals(Optional.of(suspect), CrashSuspect.parse(suspect.toString()));
    }
    assertEquals(PromptPartId.of("5c1e07A2"), PART);
    assertEquals(Optional.empty(), CrashSuspect.parse("part-"));
  }

  @Test
  void contentIsParsedFromItsText() {
    assertEquals(Optional.of(CONTENT), RequestContent.parse(CONTENT.toString()));
    RequestContent large = new RequestContent(-1, 4_000_000);
    assertEquals(Optional.of(large), RequestContent.parse(large.toString()));
    for (String text : List.of("", "-", "zz-1", "0000000000000007", "7-x", "7--")) {
      assertEquals(Optional.empty(), RequestContent.parse(text), text);
    }
  }

  private void crash(CrashSuspect suspect, int... endpoints) {
    for (int each : endpoints) {
      history.recordCrash(suspect, endpoint(each), 0);
    }
  }

  private static EndpointIncarnation endpoint(int number) {
    return new EndpointIncarnation(new EndpointId("e-" + number), 0);
  }
}

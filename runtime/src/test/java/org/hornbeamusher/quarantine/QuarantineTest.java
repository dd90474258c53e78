package org.hornbeamusher.quarantine;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;
import org.hornbeamusher.failure.FailureType;
import org.hornbeamusher.ids.EndpointId;
import org.junit.jupiter.api.Test;

class QuarantineTest {

  private static final long CRASHING_FINGERPRINT = 42;
  private static final int ENTRY_COUNT = 3;
  private static final long HOUR_MILLIS = 3_600_000;

  private final Quarantine quarantine = new Quarantine(QuarantineSettings.DEFAULT);

  @Test
  void requestWithoutKnownCrashIsAllowed() {
    assertInstanceOf(QuarantineDecision.Allow.class, quarantine.check(CRASHING_FINGERPRINT, 0));
  }

  // After a crash every request of the batch is a suspect, but only one may have caused it. The
  // others must still run, with at most one copy of a suspect at a time.
  @Test
  void suspectIsAllowedAloneAndNotConcurrently() {
    quarantine.attemptStarted(CRASHING_FINGERPRINT, 0);
    quarantine.endpointCrashed(CRASHING_FINGERPRINT, 10);
    assertInstanceOf(
        QuarantineDecision.AllowIsolated.class, quarantine.check(CRASHING_FINGERPRINT, 20));
    quarantine.attemptStarted(CRASHING_FINGERPRINT, 20);
    assertRefused(FailureType.SUSPECT_RUNNING, 30);
    quarantine.attemptEnded(CRASHING_FINGERPRINT, 40);
    assertInstanceOf(
        QuarantineDecision.AllowIsolated.class, quarantine.check(CRASHING_FINGERPRINT, 50));
  }

  // A crash leaves eight suspects, and routing could send all of them to the same next endpoint. If
  // that crashed too, seven harmless requests would be quarantined.
  @Test
  void endpointsRunningSuspectsAreReportedUntilTheAttemptsEnd() {
    EndpointId first = new EndpointId("valuer-1");
    quarantine.attemptStarted(7, first, 0);
    assertEquals(Set.of(), quarantine.endpointsRunningSuspects());
    quarantine.endpointCrashed(7, 10);
    quarantine.attemptStarted(7, first, 20);
    assertEquals(Set.of(first), quarantine.endpointsRunningSuspects());
    quarantine.attemptEnded(7, 30);
    assertEquals(Set.of(), quarantine.endpointsRunningSuspects());
  }

  // Guards against a request that has crashed two endpoints and is retried on a third.
  @Test
  void requestIsQuarantinedAfterTheSecondCrash() {
    quarantine.attemptStarted(CRASHING_FINGERPRINT, 0);
    assertEquals(1, quarantine.endpointCrashed(CRASHING_FINGERPRINT, 10));
    quarantine.attemptStarted(CRASHING_FINGERPRINT, 20);
    assertEquals(2, quarantine.endpointCrashed(CRASHING_FINGERPRINT, 30));
    assertRefused(FailureType.QUARANTINED, 40);
    assertRefused(FailureType.QUARANTINED, 40 + 48 * HOUR_MILLIS);
  }

  @Test
  void crashesReportedByOthersCountAndNeverDecrease() {
    quarantine.mergeCrashCount(CRASHING_FINGERPRINT, 2, 0);
    assertRefused(FailureType.QUARANTINED, 10);
    quarantine.mergeCrashCount(CRASHING_FINGERPRINT, 1, 20);
    assertRefused(FailureType.QUARANTINED, 30);
  }

  @Test
  void suspectExpiresAfterOneDay() {
    quarantine.mergeCrashCount(CRASHING_FINGERPRINT, 1, 0);
    assertInstanceOf(
        QuarantineDecision.Allow.class, quarantine.check(CRASHING_FINGERPRINT, 25 * HOUR_MILLIS));
  }

  @Test
  void memoryIsBounded() {
    Quarantine small = new Quarantine(new QuarantineSettings(2, HOUR_MILLIS, HOUR_MILLIS, 3));
    for (long fingerprint = 0; fingerprint < 10; fingerprint++) {
      small.mergeCrashCount(fingerprint, 2, fingerprint);
    }
    assertInstanceOf(QuarantineDecision.Allow.class, small.check(6, 10));
    assertInstanceOf(QuarantineDecision.Refuse.class, small.check(7, 10));
  }

  // A caller keeps retrying a crashing request at all entries. Copies sent before the first crash
  // run on one endpoint, because of rendezvous hashing, and are lost with it. The agent notifies
  // all
  // entries of the crash, some of them only after they have read the row. From then on a copy runs
  // only for the entry that has claimed the row. In every order of steps at most two endpoints may
  // crash.
  @Property(seed = "2604", tries = 500)
  void oneRequestCrashesAtMostTwoEndpointsAcrossEntries(
      @ForAll @Size(max = 200) List<@IntRange(max = 5) Integer> steps) {
    Pool pool = new Pool();
    long now = 0;
    for (int step : steps) {
      now += 100;
      if (step < ENTRY_COUNT) {
        pool.send(step, now);
      } else {
        pool.crash(now);
      }
      assertTrue(pool.lostEndpoints <= 2, () -> "lost endpoints: " + pool.lostEndpoints);
    }
  }

  /**
   * Model of several entries and the shared row of the fingerprint, which holds the number of lost
   * endpoints and the entries that run a copy.
   */
  private static final class Pool {
    final List<Quarantine> entries = new ArrayList<>();
    final List<Quarantine> runningCopies = new ArrayList<>();
    int lostEndpoints;

    Pool() {
      for (int i = 0; i < ENTRY_COUNT; i++) {
        entries.add(new Quarantine(QuarantineSettings.DEFAULT));
      }
    }

    void send(int entryIndex, long now) {
      Quarantine entry = entries.get(entryIndex);
      switch (entry.check(CRASHING_FINGERPRINT, now)) {
        case QuarantineDecision.Allow allow -> start(entry, now);
        case QuarantineDecision.AllowIsolated alone -> claimAndStart(entry, now);
        case QuarantineDecision.Refuse refuse -> {}
      }
    }

    /** Claims the row, which fails while a copy runs; reading it shows the row's crash count. */
    private void claimAndStart(Quarantine entry, long now) {
      entry.mergeCrashCount(CRASHING_FINGERPRINT, lostEndpoints, now);
      boolean allowed =
          entry.check(CRASHING_FINGERPRINT, now) instanceof QuarantineDecision.AllowIsolated;
      if (runningCopies.isEmpty() && allowed) {
        start(entry, now);
      }
    }

    private void start(Quarantine entry, long now) {
      entry.attemptStarted(CRASHING_FINGERPRINT, now);
      runningCopies.add(entry);
    }

    /**
     * Crashes the endpoint that runs the copies. Only the first of their entries records it as a
     * crash of its attempt; then all entries are notified of one crash.
     */
    void crash(long now) {
      if (runningCopies.isEmpty()) {
        return;
      }
      lostEndpoints++;
      runningCopies.getFirst().endpointCrashed(CRASHING_FINGERPRINT, now);
      runningCopies.stream()
          .skip(1)
          .forEach(entry -> entry.attemptEnded(CRASHING_FINGERPRINT, now));
      runningCopies.clear();
      entries.forEach(entry -> entry.mergeCrashCount(CRASHING_FINGERPRINT, 1, now));
    }
  }

  @Test
  void fingerprintDependsOnEveryFieldAndOnNothingElse() {
    long one = fingerprint("service", "model", "prompt", Map.of("max_tokens", "9"));
    assertEquals(one, fingerprint("service", "model", "prompt", Map.of("max_tokens", "9")));
    assertNotEquals(one, fingerprint("service", "model", "prompt", Map.of("max_tokens", "8")));
    assertNotEquals(one, fingerprint("service", "model", "other", Map.of("max_tokens", "9")));
    assertNotEquals(one, fingerprint("servicem", "odel", "prompt", Map.of("max_tokens", "9")));
  }

  private static long fingerprint(
      String service, String model, String prompt, Map<String, String> parameters) {
    return RequestFingerprint.of(
        service, model, prompt.getBytes(StandardCharsets.UTF_8), parameters);
  }

  private void assertRefused(FailureType type, long now) {
    QuarantineDecision decision = quarantine.check(CRASHING_FINGERPRINT, now);
    assertEquals(type, assertInstanceOf(QuarantineDecision.Refuse.class, decision).type());
  }
}

package org.hornbeamusher.ratelimit;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.stream.Stream;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.DoubleRange;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.LongRange;
import org.hornbeamusher.ids.EndpointId;
import org.junit.jupiter.api.Test;

class RatePermitsTest {

  private static final EndpointId ENDPOINT = new EndpointId("e");
  private static final long WINDOW_MILLIS = 4_000;
  private static final long DAY_MILLIS = 30_000;

  private final RatePermits permits = new RatePermits();

  @Test
  void permitIsGrantedWithItsWaitOrRefusedWithTheNext() {
    assertEquals(new PermitDecision.Granted(0), permits.permit(ENDPOINT, 1, 0, 0, 1_000));
    assertEquals(new PermitDecision.Refused(900), permits.permit(ENDPOINT, 1, 0, 500, 1_100));
    assertEquals(new PermitDecision.Granted(900), permits.permit(ENDPOINT, 1, 0, 900, 1_100));
    assertEquals(new PermitDecision.Refused(1_900), permits.permit(ENDPOINT, 1, 0, 900, 1_100));
  }

  /** An endpoint that took nothing for a while was never sent a request again. */
  @Test
  void endpointThatTakesNothingIsTriedNowAndThen() {
    assertEquals(new PermitDecision.Granted(0), permits.permit(ENDPOINT, 0, 0, 0, 1_000));
    assertEquals(new PermitDecision.Refused(4_000), permits.permit(ENDPOINT, 0, 0, 0, 1_000));
  }

  @Test
  void latestStatementDecides() {
    permits.permit(ENDPOINT, 1, 100, 0, 1_000);
    permits.lifted(ENDPOINT, 99, 1_001);
    assertEquals(new PermitDecision.Refused(998), permits.permit(ENDPOINT, 1, 100, 0, 1_002));
    permits.lifted(ENDPOINT, 101, 1_003);
    assertEquals(new PermitDecision.Granted(0), permits.permit(ENDPOINT, 1, 100, 0, 1_004));
    assertEquals(new PermitDecision.Refused(993), permits.permit(ENDPOINT, 1, 1_005, 0, 1_007));
  }

  /**
   * Entries that ask as often as they like, and a limit that changes: the stated tolerance holds.
   */
  @Property(tries = 300, seed = "33")
  void noWindowHasMoreThanTheTolerance(
      @ForAll @DoubleRange(min = 0.3, max = 60) double perSecond,
      @ForAll @IntRange(min = 1, max = 40) int entries,
      @ForAll @LongRange(min = 0, max = 1_000) long mostWait,
      @ForAll long seed) {
    List<Long> sent = play(new Random(seed), entries, mostWait, perSecond, true);
    assertTrue(most(sent) <= allowed(perSecond), most(sent) + " of " + allowed(perSecond));
  }

  /** Entries that nobody paces sent one request each at once after a pause. */
  @Property(tries = 300, seed = "33")
  void evenSharesKeepToTheToleranceOfFewEntries(
      @ForAll @DoubleRange(min = 0.3, max = 60) double perSecond,
      @ForAll @IntRange(min = 1, max = 5) int entries,
      @ForAll @LongRange(min = 0, max = 1_000) long mostWait,
      @ForAll long seed) {
    List<Long> sent = play(new Random(seed), entries, mostWait, perSecond, false);
    assertTrue(most(sent) <= allowed(perSecond), most(sent) + " of " + allowed(perSecond));
  }

  private List<Long> play(
      Random random, int entries, long mostWait, double perSecond, boolean paced) {
    List<EvenShare> shares =
        Stream.generate(() -> new EvenShare(random.nextDouble())).limit(entries).toList();
    List<Long> sent = new ArrayList<>();
    long quietUntil = random.nextLong(DAY_MILLIS);
    for (long now = 0; now < DAY_MILLIS; now += 1 + random.nextInt(8)) {
      if (now < quietUntil && now > quietUntil / 2) {
        continue;
      }
      EvenShare own = shares.get(random.nextInt(entries));
      PermitDecision decision =
          paced
              ? permits.permit(ENDPOINT, perSecond, 0, mostWait, now)
              : own.permit(perSecond, entries, mostWait, now);
      if (decision instanceof PermitDecision.Granted granted) {
        sent.add(now + granted.waitMillis());
      }
    }
    return sent;
  }

  private static double allowed(double perSecond) {
    return 1.5 * perSecond * WINDOW_MILLIS / 1_000 + 5;
  }

  private static long most(List<Long> sent) {
    List<Long> ordered = sent.stream().sorted().toList();
    int most = 0;
    int first = 0;
    for (int last = 0; last < ordered.size(); last++) {
      while (ordered.get(last) - ordered.get(first) >= WINDOW_MILLIS) {
        first++;
      }
      most = Math.max(most, last - first + 1);
    }
    return most;
  }
}

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
  private static final long DURATION_MILLIS = 30_000;

  private final RatePermits permits = new RatePermits();

  @Test
  void decisionContainsTheWaitForThePermit() {
    assertEquals(new RatePermitDecision.Granted(0), permits.tryAcquire(ENDPOINT, 1, 0, 0, 1_000));
    assertEquals(
        new RatePermitDecision.Refused(900), permits.tryAcquire(ENDPOINT, 1, 0, 500, 1_100));
    assertEquals(
        new RatePermitDecision.Granted(900), permits.tryAcquire(ENDPOINT, 1, 0, 900, 1_100));
    assertEquals(
        new RatePermitDecision.Refused(1_900), permits.tryAcquire(ENDPOINT, 1, 0, 900, 1_100));
  }

  /** Guards against never sending a request again to an endpoint that advertised a limit of 0. */
  @Test
  void endpointWithLimitZeroIsTriedOccasionally() {
    assertEquals(new RatePermitDecision.Granted(0), permits.tryAcquire(ENDPOINT, 0, 0, 0, 1_000));
    assertEquals(
        new RatePermitDecision.Refused(4_000), permits.tryAcquire(ENDPOINT, 0, 0, 0, 1_000));
  }

  @Test
  void latestAdvertisedLimitApplies() {
    permits.tryAcquire(ENDPOINT, 1, 100, 0, 1_000);
    permits.limitLifted(ENDPOINT, 99, 1_001);
    assertEquals(
        new RatePermitDecision.Refused(998), permits.tryAcquire(ENDPOINT, 1, 100, 0, 1_002));
    permits.limitLifted(ENDPOINT, 101, 1_003);
    assertEquals(new RatePermitDecision.Granted(0), permits.tryAcquire(ENDPOINT, 1, 100, 0, 1_004));
    assertEquals(
        new RatePermitDecision.Refused(993), permits.tryAcquire(ENDPOINT, 1, 1_005, 0, 1_007));
  }

  /** Entries request permits at any rate; in every window the tolerance is kept. */
  @Property(tries = 300, seed = "33")
  void noWindowExceedsTheTolerance(
      @ForAll @DoubleRange(min = 0.3, max = 60) double perSecond,
      @ForAll @IntRange(min = 1, max = 40) int entries,
      @ForAll @LongRange(min = 0, max = 1_000) long mostWait,
      @ForAll long seed) {
    List<Long> sent = simulate(new Random(seed), entries, mostWait, perSecond, true);
    assertTrue(
        maxInWindow(sent) <= allowed(perSecond), maxInWindow(sent) + " of " + allowed(perSecond));
  }

  /** Guards against entries without an agent that each send a request at once after a pause. */
  @Property(tries = 300, seed = "33")
  void evenSharesOfFewEntriesStayWithinTheTolerance(
      @ForAll @DoubleRange(min = 0.3, max = 60) double perSecond,
      @ForAll @IntRange(min = 1, max = 5) int entries,
      @ForAll @LongRange(min = 0, max = 1_000) long mostWait,
      @ForAll long seed) {
    List<Long> sent = simulate(new Random(seed), entries, mostWait, perSecond, false);
    assertTrue(
        maxInWindow(sent) <= allowed(perSecond), maxInWindow(sent) + " of " + allowed(perSecond));
  }

  /** Guards against an agent that grants a second's burst after each of its starts. */
  @Property(tries = 300, seed = "33")
  void agentThatRestartsInSeriesStaysWithinTheTolerance(
      @ForAll @DoubleRange(min = 0.3, max = 60) double perSecond,
      @ForAll @IntRange(min = 1_000, max = 5_000) int restartMillis,
      @ForAll @LongRange(min = 0, max = 200) long mostWait,
      @ForAll long seed) {
    Random random = new Random(seed);
    List<Long> sent = new ArrayList<>();
    RatePermits current = permits;
    long restart = restartMillis;
    for (long now = 0; now < DURATION_MILLIS; now += 1 + random.nextInt(8)) {
      if (now >= restart) {
        current = new RatePermits();
        restart += restartMillis;
      }
      if (current.tryAcquire(ENDPOINT, perSecond, 0, mostWait, now)
          instanceof RatePermitDecision.Granted granted) {
        sent.add(now + granted.waitMillis());
      }
    }
    assertTrue(
        maxInWindow(sent) <= allowed(perSecond), maxInWindow(sent) + " of " + allowed(perSecond));
  }

  private List<Long> simulate(
      Random random, int entries, long mostWait, double perSecond, boolean paced) {
    List<EvenShareLimiter> shares =
        Stream.generate(() -> new EvenShareLimiter(random.nextDouble())).limit(entries).toList();
    List<Long> sent = new ArrayList<>();
    long quietUntil = random.nextLong(DURATION_MILLIS);
    for (long now = 0; now < DURATION_MILLIS; now += 1 + random.nextInt(8)) {
      if (now < quietUntil && now > quietUntil / 2) {
        continue;
      }
      EvenShareLimiter own = shares.get(random.nextInt(entries));
      RatePermitDecision decision =
          paced
              ? permits.tryAcquire(ENDPOINT, perSecond, 0, mostWait, now)
              : own.tryAcquire(perSecond, entries, mostWait, now);
      if (decision instanceof RatePermitDecision.Granted granted) {
        sent.add(now + granted.waitMillis());
      }
    }
    return sent;
  }

  private static double allowed(double perSecond) {
    return 1.5 * perSecond * WINDOW_MILLIS / 1_000 + 5;
  }

  private static long maxInWindow(List<Long> sent) {
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

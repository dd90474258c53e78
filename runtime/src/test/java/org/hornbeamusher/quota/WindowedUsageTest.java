package org.hornbeamusher.quota;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;
import org.junit.jupiter.api.Test;

/** Usage that two entries exchange through relays. */
class WindowedUsageTest {

  private static final long WINDOW_MILLIS = 8_000;
  private static final String KEY = "a";

  /** The relay's clock has another origin than those of the entries. */
  private static final long RELAY_CLOCK_OFFSET_MILLIS = 1_234_567;

  private WindowedUsage<String, String> using = usage();
  private WindowedUsage<String, String> other = usage();
  private final Map<String, UsageRelay<String>> relays = new TreeMap<>();

  /**
   * Guards against a refund that leaves the window of the others at another time than its charge.
   */
  @Test
  void refundIsSubtractedFromTheStepOfItsCharge() {
    connect("r1", 0);
    using.add(KEY, 500, 1_000, 1_000);
    exchange("r1", 1_010);
    assertEquals(500, remote(1_010));
    using.add(KEY, -500, 1_000, 8_000);
    exchange("r1", 8_010);
    assertEquals(0, remote(8_010));
    assertEquals(0, remote(9_500));
    assertEquals(0, remote(16_500));
  }

  /** Guards against usage that a relay lacks because it was not chosen when it was made. */
  @Test
  void newRelayStatesTheWholeWindow() {
    connect("r1", 0);
    connect("r2", 0);
    using.add(KEY, 500, 1_000, 1_000);
    exchange("r1", 1_010);
    lose("r1");
    using.add(KEY, 300, 2_000, 2_000);
    exchange("r2", 2_010);
    assertEquals(800, remote(2_010));
  }

  /** Guards against usage of an ended entry that is forgotten with the relay that knew it. */
  @Test
  void usageThatOnlyTheLostRelayKnewRemainsUntilItHasLeftTheWindow() {
    connect("r1", 0);
    using.add(KEY, 500, 1_000, 1_000);
    exchange("r1", 1_010);
    lose("r1");
    assertEquals(500, remote(9_000));
    assertEquals(0, remote(9_300));
  }

  /** Guards against usage of ended entries that hides what the others have used since. */
  @Test
  void usageThatOnlyTheLostRelayKnewAddsToThatOfItsSuccessor() {
    connect("r1", 0);
    WindowedUsage<String, String> ended = using;
    ended.add(KEY, 500, 1_000, 1_000);
    exchange("r1", 1_010);
    using = usage();
    lose("r1");
    connect("r2", 2_000);
    using.add(KEY, 300, 3_000, 3_000);
    assertEquals(300, exchange("r2", 3_010));
    assertEquals(800, remote(3_010));
  }

  /** Guards against usage that is counted twice because it is stated again. */
  @Test
  void usageStatedAgainAfterReconnectionCountsOnce() {
    connect("r1", 0);
    using.add(KEY, 500, 1_000, 1_000);
    exchange("r1", 1_010);
    relays.get("r1").entryDisconnected("using", 1_500);
    relays.get("r1").entryConnected("using", "using", 1, 0);
    using.relayConnected("r1", 1_500);
    exchange("r1", 1_510);
    assertEquals(500, remote(1_510));
  }

  /** Guards against a level that is charged for what was used before a connection was opened. */
  @Test
  void usageFromBeforeTheConnectionIsNoChange() {
    using.add(KEY, 500, 1_000, 1_000);
    connect("r1", 2_000);
    assertEquals(0, exchange("r1", 2_010));
    assertEquals(500, remote(2_010));
    using.add(KEY, 200, 2_100, 2_100);
    assertEquals(200, exchange("r1", 2_110));
  }

  /** Guards against sums that differ from the usage after any order of charges and refunds. */
  @Property(tries = 200, seed = "20261205")
  void otherEntriesKnowTheUsageOfTheWindow(
      @ForAll @Size(min = 1, max = 60) List<@IntRange(min = -100, max = 100) Integer> units,
      @ForAll @IntRange(min = 1, max = 59) int lostAt) {
    // All tries of a property share one instance.
    using = usage();
    other = usage();
    connect("r1", 0);
    connect("r2", 0);
    TreeMap<Long, Long> charges = new TreeMap<>();
    TreeMap<Long, Long> chargesAndRefunds = new TreeMap<>();
    long now = 0;
    for (int i = 0; i < units.size(); i++) {
      now += 150;
      int change = units.get(i);
      if (change > 0) {
        using.add(KEY, change, now, now);
        charges.put(now, (long) change);
        chargesAndRefunds.put(now, (long) change);
      } else if (!charges.isEmpty()) {
        long at = charges.firstKey() + (charges.lastKey() - charges.firstKey()) / 2;
        Map.Entry<Long, Long> refunded = charges.floorEntry(at);
        using.add(KEY, -refunded.getValue(), refunded.getKey(), now);
        charges.remove(refunded.getKey());
      }
      if (i == lostAt) {
        lose("r1");
      }
      if (relays.containsKey("r1")) {
        exchange("r1", now);
      }
      exchange("r2", now);
    }
    long since = now - WINDOW_MILLIS;
    long used = sum(charges.tailMap(since));
    // Usage may count for two steps longer than the window, also if it is refunded then.
    long leaving = sum(chargesAndRefunds.subMap(since - 300, since));
    long known = remote(now);
    assertTrue(used <= known, known + " of " + used);
    if (lostAt >= units.size()) {
      assertTrue(known <= used + leaving, known + " of " + used);
    }
  }

  private static long sum(Map<Long, Long> units) {
    return units.values().stream().mapToLong(Long::longValue).sum();
  }

  private static WindowedUsage<String, String> usage() {
    return new WindowedUsage<>(WINDOW_MILLIS, key -> key);
  }

  private void connect(String relay, long now) {
    UsageRelay<String> opened = new UsageRelay<>(QuotaSettings.DEFAULT);
    relays.put(relay, opened);
    opened.entryConnected("using", "using", 1, 0);
    opened.entryConnected("other", "other", 2, 0);
    using.relayConnected(relay, now);
    other.relayConnected(relay, now);
  }

  private void lose(String relay) {
    relays.remove(relay);
    using.relayDisconnected(relay);
    other.relayDisconnected(relay);
  }

  /** Returns by how many units the known usage at the other entry has changed. */
  private long exchange(String relay, long now) {
    long relayMillis = now + RELAY_CLOCK_OFFSET_MILLIS;
    UsageRelay<String> at = relays.get(relay);
    at.recordReport(
        "using", WINDOW_MILLIS, now, using.takeReport(relay, now), List.of(), relayMillis);
    at.recordReport(
        "other", WINDOW_MILLIS, now, other.takeReport(relay, now), List.of(), relayMillis);
    long[] change = new long[1];
    at.forwardUsage(
        relayMillis,
        (entry, usage, status) -> {
          if (entry.equals("other")) {
            for (UsageAtStep one : usage) {
              change[0] +=
                  other.receive(
                      relay, KEY, one.step(), UsageSteps.stepOf(relayMillis), one.units(), now);
            }
          }
        });
    return change[0];
  }

  private long remote(long now) {
    return other.remote(KEY, now).total(now);
  }
}

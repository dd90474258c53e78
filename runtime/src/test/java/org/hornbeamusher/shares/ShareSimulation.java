package org.hornbeamusher.shares;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.function.LongPredicate;
import org.hornbeamusher.quota.QuotaSettings;
import org.hornbeamusher.quota.UsageRelay;
import org.hornbeamusher.quota.UsageSteps;

/**
 * Simulation of entries that share one service through two relays. A request starts when one of the
 * service's slots is free, the most urgent first, and is refused when it has waited for its target
 * time, or at once if it is beyond its share and no slot is free.
 */
final class ShareSimulation {

  static final String SERVICE = "s";
  static final int RUN_MILLIS = 500;
  private static final int STEP_MILLIS = 5;
  private static final int REPORT_MILLIS = 100;
  private static final int TARGET_MILLIS = 800;
  private static final int AGEING_MILLIS = 250;
  private static final int RELAYS = 2;
  private static final long VALID_MILLIS = 300;

  private final int slots;
  private final boolean shared;
  private final Random random;
  private final List<FairShares<Integer>> entries = new ArrayList<>();
  private final List<UsageRelay<Integer>> relays = new ArrayList<>();
  private final List<Source> sources = new ArrayList<>();
  private final List<Waiting> queue = new ArrayList<>();
  private final List<Long> runEnds = new ArrayList<>();
  private final Map<ShareId, Counts> counts = new HashMap<>();
  private long now = 10_000;
  private long incarnations;

  /** Whether messages between an entry and a relay are delivered. */
  private LinkState links = (entry, relay) -> true;

  ShareSimulation(int entryCount, int slots, boolean shared, long seed) {
    this.slots = slots;
    this.shared = shared;
    this.random = new Random(seed);
    for (int i = 0; i < RELAYS; i++) {
      relays.add(new UsageRelay<>(QuotaSettings.DEFAULT));
    }
    for (int i = 0; i < entryCount; i++) {
      entries.add(null);
      restart(i);
    }
  }

  /** Tells which links are up. */
  @FunctionalInterface
  interface LinkState {
    boolean up(int entry, int relay);
  }

  /** How requests of a share ended. */
  static final class Counts {
    int asked;
    int served;

    double fraction() {
      return asked == 0 ? 1 : (double) served / asked;
    }
  }

  private record Source(ShareId share, double weight, double perSecond, LongPredicate active) {}

  private record Waiting(ShareId share, int rank, boolean within, int entry, long sinceMillis) {
    long agedRank(long now) {
      return Math.max(0, rank - (now - sinceMillis) / AGEING_MILLIS);
    }
  }

  void links(LinkState state) {
    links = state;
  }

  /** Replaces an entry by one that has just started; what it had not reported is lost. */
  void restart(int entry) {
    FairShares<Integer> started = new FairShares<>(ShareSettings.DEFAULT);
    entries.set(entry, started);
    for (int relay = 0; relay < RELAYS; relay++) {
      relays.get(relay).entryConnected(entry, "entry-" + entry, ++incarnations, now);
      started.relayConnected(relay, now);
    }
  }

  ShareId account(String name, int rank, double perSecond) {
    return account(name, rank, 1, perSecond, time -> true);
  }

  /** Adds callers; {@code active} is given the time since the start. */
  ShareId account(String name, int rank, double weight, double perSecond, LongPredicate active) {
    ShareId share = new ShareId(SERVICE, name, rank);
    long start = now;
    sources.add(new Source(share, weight, perSecond, time -> active.test(time - start)));
    return share;
  }

  Counts counts(ShareId share) {
    return counts.computeIfAbsent(share, unused -> new Counts());
  }

  void forgetCounts() {
    counts.clear();
  }

  void run(long millis) {
    long end = now + millis;
    while (now < end) {
      now += STEP_MILLIS;
      runEnds.removeIf(ends -> ends <= now);
      sources.forEach(this::arrivals);
      queue.removeIf(one -> now - one.sinceMillis >= TARGET_MILLIS);
      startRequests();
      if (now % REPORT_MILLIS == 0) {
        exchange();
      }
    }
  }

  private void arrivals(Source source) {
    double expected = source.perSecond * STEP_MILLIS / 1_000;
    for (; source.active.test(now) && expected > 0; expected--) {
      if (random.nextDouble() < expected) {
        // Callers reach the entries unevenly: the square makes the first one the busiest.
        int entry = (int) (entries.size() * Math.pow(random.nextDouble(), 2));
        arrive(source, entry);
      }
    }
  }

  private void arrive(Source source, int entry) {
    ShareId share = source.share;
    counts(share).asked++;
    ShareDecision decision = entries.get(entry).arrived(share, source.weight, RUN_MILLIS, now);
    boolean within = !shared || !decision.beyond();
    if (within || runEnds.size() < slots) {
      int rank = shared ? decision.effectiveRank(share.rank()) : share.rank();
      queue.add(new Waiting(share, rank, within, entry, now));
    }
  }

  private void startRequests() {
    queue.sort(
        Comparator.comparingLong((Waiting one) -> one.agedRank(now))
            .thenComparingLong(Waiting::sinceMillis));
    while (runEnds.size() < slots && !queue.isEmpty()) {
      Waiting next = queue.remove(0);
      runEnds.add(now + RUN_MILLIS);
      counts(next.share).served++;
      entries.get(next.entry).started(next.share, RUN_MILLIS, now);
    }
  }

  private void exchange() {
    long step = UsageSteps.stepOf(now);
    for (int relay = 0; relay < RELAYS; relay++) {
      int to = relay;
      for (int entry = 0; entry < entries.size(); entry++) {
        if (links.up(entry, relay)) {
          relays
              .get(relay)
              .recordReport(
                  entry, 0, now, entries.get(entry).takeReport(relay, now), List.of(), now);
        }
      }
      relays
          .get(relay)
          .forwardUsage(
              now,
              (entry, usage, status) -> {
                if (links.up(entry, to)) {
                  entries.get(entry).usageReported(to, step, usage, VALID_MILLIS, now);
                }
              });
    }
  }
}

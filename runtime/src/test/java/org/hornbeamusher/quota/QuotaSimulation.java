package org.hornbeamusher.quota;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalInt;
import java.util.PriorityQueue;
import java.util.Random;
import org.hornbeamusher.accounts.AccountName;
import org.hornbeamusher.accounts.ClientAccount;
import org.hornbeamusher.accounts.Quota;
import org.hornbeamusher.accounts.QuotaUnit;

/**
 * Entries that share the quota of one account through two relays, without a network: messages take
 * time, entries are cut off and start again, and callers reach entries unevenly.
 */
final class QuotaSimulation {

  static final AccountName ACCOUNT = new AccountName("a");
  private static final long STEP_MILLIS = 5;
  private static final int RELAYS = 2;

  private final QuotaSettings settings;
  private final QuotaTolerance tolerance;
  private final boolean exchanging;
  private final Random random;
  private final long delayMillis;
  private final List<Entry> entries = new ArrayList<>();
  private final List<UsageRelay<Integer>> relays = new ArrayList<>();
  private final long[] relayDueMillis = new long[RELAYS];
  private final PriorityQueue<Delivery> network =
      new PriorityQueue<>((a, b) -> Long.compare(a.atMillis, b.atMillis));
  private final List<long[]> admitted = new ArrayList<>();
  private Quota quota;
  private long now = 1_000;
  private double idealLevel;
  private long idealMillis;

  /** Asked within the quota, as one bucket that sees every request decides it. */
  private long asked;

  /** Refused although it was within the quota. */
  private long refused;

  private long messages;

  /**
   * Creates entries that have just started.
   *
   * @param count how many
   * @param exchanging whether they report to relays; otherwise each keeps to a fixed share
   * @param delayMillis of each message
   */
  QuotaSimulation(int count, Quota quota, boolean exchanging, long delayMillis, long seed) {
    this(count, quota, exchanging, delayMillis, seed, QuotaTolerance.NONE);
  }

  QuotaSimulation(
      int count,
      Quota quota,
      boolean exchanging,
      long delayMillis,
      long seed,
      QuotaTolerance tolerance) {
    this.tolerance = tolerance;
    this.settings =
        exchanging ? QuotaSettings.DEFAULT : new QuotaSettings(150, 3, 20, 2.5, count, 2);
    this.exchanging = exchanging;
    this.quota = quota;
    this.delayMillis = delayMillis;
    this.random = new Random(seed);
    for (int i = 0; i < RELAYS; i++) {
      relays.add(new UsageRelay<>(settings));
    }
    for (int i = 0; i < count; i++) {
      entries.add(new Entry());
      restart(i);
    }
  }

  /** Starts an entry again: it knows nothing. */
  void restart(int entry) {
    Entry restarted = entries.get(entry);
    restarted.meter = new QuotaMeter<>(settings, tolerance);
    restarted.generation++;
    restarted.dueMillis = now;
    configure(restarted);
    for (int relay = 0; exchanging && relay < RELAYS; relay++) {
      relays.get(relay).closed(entry, now);
      relays.get(relay).opened(entry, "e" + entry);
      restarted.meter.opened(relay);
    }
  }

  void configure(Quota next) {
    quota = next;
    entries.forEach(this::configure);
  }

  private void configure(Entry entry) {
    entry.meter.configured(
        Map.of(ACCOUNT, new ClientAccount(ACCOUNT, OptionalInt.empty(), quota)), now);
  }

  /** Cuts an entry off from the relays, or lets it reach them again. */
  void cut(int entry, boolean off) {
    entries.get(entry).cut = off;
  }

  /** Both ends of an entry's connections notice that it is cut off, or that it is not any more. */
  void abandon(int entry, boolean off) {
    Entry changed = entries.get(entry);
    changed.generation++;
    changed.abandoned = off;
    for (int relay = 0; relay < RELAYS; relay++) {
      if (off) {
        relays.get(relay).closed(entry, now);
        changed.meter.closed(relay);
      } else {
        relays.get(relay).opened(entry, "e" + entry);
        changed.meter.opened(relay);
      }
    }
  }

  /**
   * Lets time pass while callers ask.
   *
   * @param perSecond units that are asked of all entries together
   * @param cost units of a request
   * @param uneven how uneven the entries' parts are; 0 for even
   */
  void run(long millis, double perSecond, long cost, double uneven) {
    double[] parts = parts(uneven);
    for (long end = now + millis; now < end; now += STEP_MILLIS) {
      deliver();
      for (int i = 0; i < entries.size(); i++) {
        double expected = perSecond * parts[i] * STEP_MILLIS / 1_000 / cost;
        for (double left = expected; left > 0; left--) {
          if (random.nextDouble() < left) {
            ask(i, cost);
          }
        }
        report(i);
      }
      relay();
    }
  }

  private double[] parts(double uneven) {
    double[] parts = new double[entries.size()];
    double sum = 0;
    Random fixed = new Random(7);
    for (int i = 0; i < parts.length; i++) {
      parts[i] = Math.exp(uneven * fixed.nextGaussian());
      sum += parts[i];
    }
    for (int i = 0; i < parts.length; i++) {
      parts[i] /= sum;
    }
    return parts;
  }

  private void ask(int entry, long cost) {
    double back = quota.ratePerSecond() * (now - idealMillis) / 1_000.0;
    idealLevel = Math.min(quota.burst(), idealLevel + back);
    idealMillis = now;
    boolean within = idealLevel >= cost;
    if (within) {
      idealLevel -= cost;
      asked += cost;
    }
    Entry at = entries.get(entry);
    if (at.meter.admit(ACCOUNT, cost, now) instanceof QuotaDecision.Admitted) {
      admitted.add(new long[] {now, cost});
      if (at.meter.urgent(ACCOUNT, now)) {
        at.dueMillis = Math.min(at.dueMillis, now + settings.urgentMillis());
      }
    } else if (within) {
      refused += cost;
    }
  }

  private void report(int number) {
    Entry entry = entries.get(number);
    if (!exchanging || entry.abandoned || now < entry.dueMillis) {
      return;
    }
    entry.dueMillis = now + settings.intervalMillis(entry.meter.entries());
    int generation = entry.generation;
    for (int i = 0; i < RELAYS; i++) {
      UsageRelay<Integer> to = relays.get(i);
      Map<String, Long> increments = entry.meter.takeIncrements(i);
      int relay = i;
      send(
          number,
          () -> {
            if (entries.get(number).generation == generation) {
              to.reported(number, increments, now);
              if (to.changed()) {
                relayDueMillis[relay] =
                    Math.min(relayDueMillis[relay], now + settings.urgentMillis());
              }
            }
          });
    }
  }

  private void relay() {
    for (int i = 0; i < RELAYS; i++) {
      if (exchanging && now >= relayDueMillis[i]) {
        UsageRelay<Integer> from = relays.get(i);
        relayDueMillis[i] = now + settings.intervalMillis(entries.size());
        int reachable = from.reachable(now);
        int relay = i;
        Map<Integer, Map<String, Long>> out = new HashMap<>();
        from.pass(now, out::put);
        out.forEach(
            (number, increments) -> {
              int generation = entries.get(number).generation;
              send(
                  number,
                  () -> {
                    if (entries.get(number).generation == generation) {
                      entries
                          .get(number)
                          .meter
                          .relayed(relay, increments, reachable, from.size(now), now);
                    }
                  });
            });
      }
    }
  }

  /** What is sent to or by an entry that is cut off stays on its connection. */
  private void send(int entry, Runnable arrival) {
    messages++;
    network.add(new Delivery(now + delayMillis, entry, arrival));
  }

  private void deliver() {
    List<Delivery> held = new ArrayList<>();
    while (!network.isEmpty() && network.peek().atMillis <= now) {
      Delivery next = network.poll();
      if (entries.get(next.entry).cut) {
        held.add(next);
      } else {
        next.arrival.run();
      }
    }
    network.addAll(held);
  }

  long now() {
    return now;
  }

  /** Returns the most that was admitted in any window of a length since a moment. */
  long most(long windowMillis, long sinceMillis) {
    long most = 0;
    long sum = 0;
    int from = 0;
    for (long[] one : admitted) {
      if (one[0] < sinceMillis) {
        from++;
        continue;
      }
      sum += one[1];
      while (admitted.get(from)[0] <= one[0] - windowMillis) {
        sum -= admitted.get(from++)[1];
      }
      most = Math.max(most, sum);
    }
    return most;
  }

  long admittedSince(long sinceMillis) {
    return admitted.stream().filter(one -> one[0] >= sinceMillis).mapToLong(one -> one[1]).sum();
  }

  /** Returns how much was refused of what was within the quota. */
  double refusedShare() {
    return asked == 0 ? 0 : (double) refused / asked;
  }

  void forgetCounts() {
    asked = 0;
    refused = 0;
    messages = 0;
  }

  long messages() {
    return messages;
  }

  static Quota tokens(long rate, long burst) {
    return new Quota(QuotaUnit.TOKENS, rate, burst, 200);
  }

  private static final class Entry {

    private QuotaMeter<Integer> meter;
    private int generation;
    private long dueMillis;
    private boolean cut;
    private boolean abandoned;
  }

  private record Delivery(long atMillis, int entry, Runnable arrival) {}
}

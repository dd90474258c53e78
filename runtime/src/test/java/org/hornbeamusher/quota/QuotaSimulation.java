package org.hornbeamusher.quota;

import java.util.ArrayList;
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
 * Simulation of entries that share the quota of one account through two of four agents: messages
 * are delayed, entries are cut off and restarted, agents are lost, requests are refused after they
 * were charged, and callers reach the entries unevenly.
 */
final class QuotaSimulation {

  static final AccountName ACCOUNT = new AccountName("a");
  private static final long STEP_MILLIS = 5;
  private static final int AGENTS = 4;
  private static final int RELAYS = 2;

  private final QuotaSettings settings;
  private final QuotaTolerance tolerance;
  private final boolean exchanging;
  private final Random random;
  private final Random draws;
  private final long delayMillis;
  private final List<Entry> entries = new ArrayList<>();
  private final List<UsageRelay<Integer>> relays = new ArrayList<>();
  private final long[] relayDueMillis = new long[AGENTS];
  private int lostAgents;
  private long incarnations;
  private final PriorityQueue<Delivery> network =
      new PriorityQueue<>((a, b) -> Long.compare(a.atMillis, b.atMillis));
  private final List<long[]> admitted = new ArrayList<>();
  private final PriorityQueue<Refusal> refusals =
      new PriorityQueue<>((a, b) -> Long.compare(a.atMillis, b.atMillis));
  private double refusedAfterChargeFraction;
  private long refusedAfterMillis;
  private final PriorityQueue<Waiting> waiting =
      new PriorityQueue<>((a, b) -> Long.compare(a.dueMillis, b.dueMillis));
  private long waitMillis;
  private double runAgainFraction;
  private Quota quota;
  private long now = 1_000;
  private double idealLevel;
  private long idealMillis;

  /** Units requested within the quota, as decided by one ideal bucket that sees every request. */
  private long requestedUnits;

  /** Units refused although they were within the quota. */
  private long refusedUnits;

  private long messages;

  /**
   * Creates entries that have just started.
   *
   * @param count number of entries
   * @param exchanging whether they report to relays; otherwise each is limited to a fixed share
   * @param delayMillis delay of each message
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
    this.draws = new Random(~seed);
    for (int i = 0; i < AGENTS; i++) {
      relays.add(new UsageRelay<>(settings));
    }
    for (int i = 0; i < count; i++) {
      entries.add(new Entry());
      restart(i);
    }
  }

  /** Restarts an entry, which loses its state. */
  void restart(int entry) {
    Entry restarted = entries.get(entry);
    restarted.meter = new QuotaMeter<>(settings, tolerance, draws::nextDouble);
    restarted.generation++;
    restarted.incarnation = ++incarnations;
    restarted.dueMillis = now;
    configure(restarted);
    for (int relay = lostAgents; exchanging && relay < AGENTS; relay++) {
      relays.get(relay).entryDisconnected(entry, now);
      relays.get(relay).entryConnected(entry, "e" + entry, restarted.incarnation);
      restarted.meter.relayConnected(relay, now);
    }
  }

  /** Loses the two agents that relay usage; the entries choose the next two. */
  void loseRelays() {
    for (int relay = lostAgents; relay < lostAgents + RELAYS; relay++) {
      for (Entry entry : entries) {
        entry.meter.relayDisconnected(relay);
      }
    }
    lostAgents += RELAYS;
    for (Entry entry : entries) {
      entry.generation++;
    }
  }

  /**
   * Lets endpoints refuse a fraction of the requests from now on, after they were charged.
   *
   * @param fraction of the admitted requests
   * @param afterMillis how long a request waits until it is refused and its charge is returned
   */
  void refuseAfterCharge(double fraction, long afterMillis) {
    refusedAfterChargeFraction = fraction;
    refusedAfterMillis = afterMillis;
  }

  /**
   * Lets admitted requests wait from now on before they run.
   *
   * @param millis how long; those that wait already are not changed
   */
  void waitBeforeRun(long millis) {
    waitMillis = millis;
  }

  /**
   * Lets a fraction of the requests run a second time from now on, at another endpoint.
   *
   * @param fraction of the admitted requests
   */
  void runAgain(double fraction) {
    runAgainFraction = fraction;
  }

  /** Takes the account out of the configuration of all entries. */
  void removeAccount() {
    entries.forEach(entry -> entry.meter.updateAccounts(Map.of(), now));
  }

  void configure(Quota next) {
    quota = next;
    entries.forEach(this::configure);
  }

  private void configure(Entry entry) {
    entry.meter.updateAccounts(
        Map.of(ACCOUNT, new ClientAccount(ACCOUNT, OptionalInt.empty(), quota)), now);
  }

  /** Cuts an entry off from the relays, or reconnects it. */
  void setPartitioned(int entry, boolean partitioned) {
    entries.get(entry).partitioned = partitioned;
  }

  /**
   * Lets both ends of an entry's connections detect that it is cut off, or that it is reachable.
   */
  void setPartitionDetected(int entry, boolean partitioned) {
    Entry changed = entries.get(entry);
    changed.generation++;
    changed.partitionDetected = partitioned;
    for (int relay = lostAgents; relay < AGENTS; relay++) {
      if (partitioned) {
        relays.get(relay).entryDisconnected(entry, now);
        changed.meter.relayDisconnected(relay);
      } else {
        relays.get(relay).entryConnected(entry, "e" + entry, changed.incarnation);
        changed.meter.relayConnected(relay, now);
      }
    }
  }

  /**
   * Advances the time while callers send requests.
   *
   * @param perSecond units requested per second at all entries together
   * @param cost units of each request
   * @param uneven how unevenly the requests are distributed over the entries; 0 for evenly
   */
  void run(long millis, double perSecond, long cost, double uneven) {
    double[] shares = shares(uneven);
    for (long end = now + millis; now < end; now += STEP_MILLIS) {
      deliver();
      refund();
      serveWaiting();
      for (int i = 0; i < entries.size(); i++) {
        double expected = perSecond * shares[i] * STEP_MILLIS / 1_000 / cost;
        for (double left = expected; left > 0; left--) {
          if (random.nextDouble() < left) {
            request(i, cost);
          }
        }
        report(i);
      }
      relay();
    }
  }

  private double[] shares(double uneven) {
    double[] shares = new double[entries.size()];
    double sum = 0;
    Random fixed = new Random(7);
    for (int i = 0; i < shares.length; i++) {
      shares[i] = Math.exp(uneven * fixed.nextGaussian());
      sum += shares[i];
    }
    for (int i = 0; i < shares.length; i++) {
      shares[i] /= sum;
    }
    return shares;
  }

  private void request(int entry, long cost) {
    double refilled = quota.ratePerSecond() * (now - idealMillis) / 1_000.0;
    idealLevel = Math.min(quota.burst(), idealLevel + refilled);
    idealMillis = now;
    boolean within = idealLevel >= cost;
    if (within) {
      idealLevel -= cost;
      requestedUnits += cost;
    }
    Entry at = entries.get(entry);
    if (at.meter.admit(ACCOUNT, cost, now) instanceof QuotaDecision.Admitted decision) {
      if (refusedAfterChargeFraction > 0 && random.nextDouble() < refusedAfterChargeFraction) {
        refusals.add(new Refusal(now + refusedAfterMillis, entry, decision.charge()));
      } else if (waitMillis > 0) {
        waiting.add(Waiting.of(now, now + waitMillis, at.meter, decision.charge()));
      } else {
        ran(at.meter, cost);
      }
      if (at.meter.reportUrgent(ACCOUNT, now)) {
        at.dueMillis = Math.min(at.dueMillis, now + settings.urgentMillis());
      }
    } else if (within) {
      refusedUnits += cost;
    }
  }

  private void ran(QuotaMeter<Integer> meter, long cost) {
    admitted.add(new long[] {now, cost});
    if (runAgainFraction > 0 && random.nextDouble() < runAgainFraction) {
      meter.charge(ACCOUNT, cost, now);
      admitted.add(new long[] {now, cost});
    }
  }

  /** Lets requests wait on, or run if their time has come. */
  private void serveWaiting() {
    while (!waiting.isEmpty() && waiting.peek().dueMillis <= now) {
      Waiting next = waiting.poll();
      QuotaCharge renewed = next.meter.renew(next.charge, now);
      if (next.runMillis <= now) {
        ran(next.meter, renewed.units());
      } else {
        waiting.add(Waiting.of(now, next.runMillis, next.meter, renewed));
      }
    }
  }

  private void refund() {
    while (!refusals.isEmpty() && refusals.peek().atMillis <= now) {
      Refusal refusal = refusals.poll();
      entries.get(refusal.entry).meter.refund(refusal.charge, now);
    }
  }

  private void report(int number) {
    Entry entry = entries.get(number);
    if (!exchanging || entry.partitionDetected || now < entry.dueMillis) {
      return;
    }
    entry.dueMillis = now + settings.intervalMillis(entry.meter.entryCount());
    int generation = entry.generation;
    for (int i = lostAgents; i < lostAgents + RELAYS; i++) {
      UsageRelay<Integer> to = relays.get(i);
      long sentMillis = now;
      List<UsageAtStep> usage = entry.meter.takeReport(i, now);
      int relay = i;
      send(
          number,
          () -> {
            if (entries.get(number).generation == generation) {
              to.recordReport(number, tolerance.windowMillis(), sentMillis, usage, now);
              if (to.hasUnforwardedUsage()) {
                relayDueMillis[relay] =
                    Math.min(relayDueMillis[relay], now + settings.urgentMillis());
              }
            }
          });
    }
  }

  private void relay() {
    for (int i = lostAgents; i < lostAgents + RELAYS; i++) {
      if (exchanging && now >= relayDueMillis[i]) {
        UsageRelay<Integer> from = relays.get(i);
        relayDueMillis[i] = now + settings.intervalMillis(entries.size());
        int reachable = from.reportingEntryCount(now);
        int relay = i;
        long step = UsageSteps.stepOf(now);
        long knownMillis = from.knownMillis(now);
        from.forwardUsage(
            now,
            (number, usage, answeredMillis) -> {
              int generation = entries.get(number).generation;
              send(
                  number,
                  () -> {
                    if (entries.get(number).generation == generation) {
                      entries
                          .get(number)
                          .meter
                          .usageReported(
                              relay,
                              step,
                              usage,
                              new RelayStatus(
                                  answeredMillis, knownMillis, reachable, from.entryCount(now)),
                              now);
                    }
                  });
            });
      }
    }
  }

  /** Messages to or from an entry that is cut off are held back until it is reachable again. */
  private void send(int entry, Runnable arrival) {
    messages++;
    network.add(new Delivery(now + delayMillis, entry, arrival));
  }

  private void deliver() {
    List<Delivery> held = new ArrayList<>();
    while (!network.isEmpty() && network.peek().atMillis <= now) {
      Delivery next = network.poll();
      if (entries.get(next.entry).partitioned) {
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

  /** Returns the maximum number of units admitted in any window of a length since a time. */
  long maxInWindow(long windowMillis, long sinceMillis) {
    long max = 0;
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
      max = Math.max(max, sum);
    }
    return max;
  }

  long admittedSince(long sinceMillis) {
    return admitted.stream().filter(one -> one[0] >= sinceMillis).mapToLong(one -> one[1]).sum();
  }

  /** Returns the fraction refused of the units requested within the quota. */
  double refusedFraction() {
    return requestedUnits == 0 ? 0 : (double) refusedUnits / requestedUnits;
  }

  void resetCounts() {
    requestedUnits = 0;
    refusedUnits = 0;
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
    private long incarnation;
    private long dueMillis;
    private boolean partitioned;
    private boolean partitionDetected;
  }

  private record Refusal(long atMillis, int entry, QuotaCharge charge) {}

  private record Waiting(
      long dueMillis, long runMillis, QuotaMeter<Integer> meter, QuotaCharge charge) {

    private static Waiting of(
        long now, long runMillis, QuotaMeter<Integer> meter, QuotaCharge charge) {
      return new Waiting(
          Math.min(runMillis, now + meter.renewalMillis()), runMillis, meter, charge);
    }
  }

  private record Delivery(long atMillis, int entry, Runnable arrival) {}
}

package org.hornbeamusher.quota;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.OptionalInt;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.Set;
import java.util.stream.IntStream;
import org.hornbeamusher.accounts.AccountName;
import org.hornbeamusher.accounts.ClientAccount;
import org.hornbeamusher.accounts.Quota;
import org.hornbeamusher.accounts.QuotaUnit;

/**
 * Simulation of entries that share the quota of one account through two of several agents: messages
 * are delayed, entries are cut off and restarted, agents are lost, entries and agents end together
 * and start again, entries are connected to different agents, configurations arrive at one entry
 * after the other, requests are refused after they were charged or sent again when their endpoints
 * end, and callers reach the entries unevenly or only some of them.
 */
final class QuotaSimulation {

  static final AccountName ACCOUNT = new AccountName("a");
  private static final long STEP_MILLIS = 5;
  static final int AGENTS = 4;
  private static final int RELAYS = 2;
  private static final int LOSS_NOTICED_MILLIS = 300;
  private static final long LONGEST_RUN_MILLIS = 10_000;
  private static final long FURTHER_RUN_RETRY_MILLIS = 100;
  private static final long DEADLINE_MILLIS = 12_000;
  private static final long CLOCK_SHIFT_MILLIS = 37;

  private final QuotaSettings settings;
  private final QuotaTolerance tolerance;
  private final boolean exchanging;
  private final Random random;
  private final Random draws;
  private final long delayMillis;
  private final List<Entry> entries = new ArrayList<>();
  private final List<UsageRelay<Integer>> relays = new ArrayList<>();
  private final long[] relayDueMillis;

  /** Steps of relays whose clocks differ begin at different times. */
  private final long[] relayClockMillis;

  private final int agents;
  private final boolean[] lostAgents;
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
  private final Random endpointDraws;
  private final List<Run> runs = new ArrayList<>();
  private final PriorityQueue<FurtherRun> furtherRuns =
      new PriorityQueue<>((a, b) -> Long.compare(a.dueMillis, b.dueMillis));
  private final PriorityQueue<Opening> openings =
      new PriorityQueue<>((a, b) -> Long.compare(a.atMillis, b.atMillis));
  private final PriorityQueue<Later> later =
      new PriorityQueue<>((a, b) -> Long.compare(a.atMillis, b.atMillis));
  private Quota quota;
  private long now = 1_000;
  private double idealLevel;
  private long idealMillis;

  /** Units requested within the quota, as decided by one ideal bucket that sees every request. */
  private long requestedUnits;

  /** Units refused although they were within the quota. */
  private long refusedUnits;

  private long messages;
  private long lostFurtherRuns;

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
    this(count, AGENTS, quota, exchanging, delayMillis, seed, tolerance);
  }

  QuotaSimulation(
      int count,
      int agents,
      Quota quota,
      boolean exchanging,
      long delayMillis,
      long seed,
      QuotaTolerance tolerance) {
    this.agents = agents;
    this.lostAgents = new boolean[agents];
    this.relayDueMillis = new long[agents];
    this.relayClockMillis = new long[agents];
    this.tolerance = tolerance;
    this.settings =
        exchanging ? QuotaSettings.DEFAULT : new QuotaSettings(150, 3, 20, 2.5, count, 2);
    this.exchanging = exchanging;
    this.quota = quota;
    this.delayMillis = delayMillis;
    this.random = new Random(seed);
    this.draws = new Random(~seed);
    this.endpointDraws = new Random(seed + 1);
    for (int i = 0; i < agents; i++) {
      relays.add(new UsageRelay<>(settings));
    }
    for (int i = 0; i < count; i++) {
      entries.add(new Entry(agents));
      restart(i);
    }
  }

  /** Lets the clocks of relays differ by parts of a step. */
  void shiftRelayClocks() {
    for (int agent = 0; agent < agents; agent++) {
      relayClockMillis[agent] = CLOCK_SHIFT_MILLIS * (agent + 1) % 100;
    }
  }

  private long relayNow(int agent) {
    return now + relayClockMillis[agent];
  }

  /** Restarts an entry, which loses its state. */
  void restart(int entry) {
    begin(entry);
    for (int agent = 0; exchanging && agent < agents; agent++) {
      if (!lostAgents[agent]) {
        relays.get(agent).entryDisconnected(entry, relayNow(agent));
        connect(entry, agent);
      }
    }
  }

  private void begin(int entry) {
    Entry restarted = entries.get(entry);
    restarted.meter = new QuotaMeter<>(settings, tolerance, draws::nextDouble);
    restarted.incarnation = ++incarnations;
    restarted.dueMillis = now;
    restarted.ended = false;
    Arrays.fill(restarted.connected, false);
    configure(restarted);
  }

  /**
   * Ends entries and agents together, as when their zone loses power, and starts them again.
   *
   * @param first the first of the entries
   * @param end the entry after the last of them
   * @param agentNumbers the agents
   * @param awayMillis after which time they start again
   * @param noticedMillis after which time the others close their connections to them
   * @param openMillis within which time each connection of those that start again opens
   */
  void endTogether(
      int first,
      int end,
      List<Integer> agentNumbers,
      long awayMillis,
      long noticedMillis,
      long openMillis) {
    for (int entry = first; entry < end; entry++) {
      end(entry, noticedMillis);
    }
    agentNumbers.forEach(agent -> lose(agent, Math.min(noticedMillis, awayMillis)));
    after(
        awayMillis,
        () -> {
          agentNumbers.forEach(agent -> startAgent(agent, openMillis));
          for (int entry = first; entry < end; entry++) {
            startEntry(entry, openMillis);
          }
        });
  }

  /** Returns the agents that the entries report to. */
  List<Integer> currentRelays() {
    return IntStream.range(0, agents).filter(i -> !lostAgents[i]).limit(RELAYS).boxed().toList();
  }

  private void end(int number, long noticedMillis) {
    Entry entry = entries.get(number);
    entry.ended = true;
    runs.removeIf(run -> run.meter == entry.meter);
    furtherRuns.removeIf(run -> run.meter == entry.meter);
    waiting.removeIf(one -> one.meter == entry.meter);
    refusals.removeIf(refusal -> refusal.entry == number);
    openings.removeIf(opening -> opening.entry == number);
    for (int agent = 0; agent < agents; agent++) {
      if (entry.connected[agent]) {
        entry.connected[agent] = false;
        int generation = ++entry.generations[agent];
        int lostBy = agent;
        after(
            noticedMillis,
            () -> {
              if (entry.generations[lostBy] == generation) {
                relays.get(lostBy).entryDisconnected(number, relayNow(lostBy));
              }
            });
      }
    }
  }

  private void lose(int agent, long noticedMillis) {
    lostAgents[agent] = true;
    openings.removeIf(opening -> opening.agent == agent);
    for (Entry entry : entries) {
      if (entry.connected[agent]) {
        int generation = ++entry.generations[agent];
        after(
            noticedMillis,
            () -> {
              if (entry.generations[agent] == generation) {
                entry.connected[agent] = false;
                entry.meter.relayDisconnected(agent);
              }
            });
      }
    }
  }

  private void startAgent(int agent, long openMillis) {
    relays.set(agent, new UsageRelay<>(settings));
    lostAgents[agent] = false;
    for (int entry = 0; entry < entries.size(); entry++) {
      if (!entries.get(entry).ended) {
        open(entry, agent, openMillis);
      }
    }
  }

  private void startEntry(int entry, long openMillis) {
    begin(entry);
    for (int agent = 0; agent < agents; agent++) {
      if (!lostAgents[agent]) {
        relays.get(agent).entryDisconnected(entry, relayNow(agent));
        open(entry, agent, openMillis);
      }
    }
  }

  private void open(int entry, int agent, long withinMillis) {
    long at = now + Math.round(endpointDraws.nextDouble() * withinMillis);
    openings.add(new Opening(at, entry, agent));
  }

  private void after(long millis, Runnable action) {
    later.add(new Later(now + millis, action));
  }

  private void runLater() {
    while (!later.isEmpty() && later.peek().atMillis <= now) {
      later.poll().action.run();
    }
  }

  /**
   * Restarts all entries and agents at once.
   *
   * @param openMillis within which time each connection of an entry to an agent opens
   */
  void restartAll(long openMillis) {
    network.clear();
    runs.clear();
    for (int agent = 0; agent < agents; agent++) {
      relays.set(agent, new UsageRelay<>(settings));
    }
    for (int entry = 0; entry < entries.size(); entry++) {
      begin(entry);
      for (int agent = 0; agent < agents; agent++) {
        open(entry, agent, openMillis);
      }
    }
  }

  private void openConnections() {
    while (!openings.isEmpty() && openings.peek().atMillis <= now) {
      Opening opening = openings.poll();
      connect(opening.entry, opening.agent);
    }
  }

  private void connect(int entry, int agent) {
    Entry to = entries.get(entry);
    to.connected[agent] = true;
    to.generations[agent]++;
    relays.get(agent).entryConnected(entry, "e" + entry, to.incarnation, relayNow(agent));
    to.meter.relayConnected(agent, now);
  }

  /** Closes the connection of one entry to one agent; both ends notice it at once. */
  void disconnect(int entry, int agent) {
    Entry from = entries.get(entry);
    from.connected[agent] = false;
    from.generations[agent]++;
    relays.get(agent).entryDisconnected(entry, relayNow(agent));
    from.meter.relayDisconnected(agent);
  }

  /** Loses the two agents that relay usage; the entries choose the next two. */
  void loseRelays() {
    for (int relay : currentRelays()) {
      lostAgents[relay] = true;
      for (Entry entry : entries) {
        entry.connected[relay] = false;
        entry.generations[relay]++;
        entry.meter.relayDisconnected(relay);
      }
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

  /**
   * Ends endpoints at once. What runs there is sent again as soon as that is noticed.
   *
   * @param fraction of the requests that run there
   * @param runMillis how long a request runs
   */
  void loseEndpoints(double fraction, long runMillis) {
    List<Run> lost =
        runs.stream()
            .filter(run -> run.sentMillis > now - runMillis)
            .filter(run -> endpointDraws.nextDouble() < fraction)
            .toList();
    for (Run run : lost) {
      long noticed = now + endpointDraws.nextInt(LOSS_NOTICED_MILLIS);
      furtherRuns.add(
          new FurtherRun(noticed, run.sentMillis + DEADLINE_MILLIS, run.meter, run.charge));
    }
    runs.removeAll(lost);
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

  /**
   * Changes the quota at one entry after the other.
   *
   * @param next the quota, which entries that start later have at once
   * @param withinMillis within which time the others have it
   */
  void configureWithin(Quota next, long withinMillis) {
    quota = next;
    for (Entry entry : entries) {
      after(
          Math.round(endpointDraws.nextDouble() * withinMillis),
          () -> {
            if (quota == next) {
              configure(entry);
            }
          });
    }
  }

  /** Cuts an entry off from the relays, or reconnects it. */
  void setPartitioned(int entry, boolean partitioned) {
    entries.get(entry).partitioned = partitioned;
  }

  /**
   * Lets both ends of an entry's connections detect that it is cut off, or that it is reachable.
   */
  void setPartitionDetected(int entry, boolean partitioned) {
    for (int agent = 0; agent < agents; agent++) {
      if (lostAgents[agent]) {
        continue;
      }
      if (partitioned) {
        disconnect(entry, agent);
      } else {
        connect(entry, agent);
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
    play(millis, perSecond, cost, shares(uneven));
  }

  /**
   * Advances the time while callers send requests evenly to some entries.
   *
   * @param perSecond units requested per second at these entries together
   * @param cost units of each request
   * @param first the first of these entries
   * @param end the entry after the last of them
   */
  void runAt(long millis, double perSecond, long cost, int first, int end) {
    double[] shares = new double[entries.size()];
    Arrays.fill(shares, first, end, 1.0 / (end - first));
    play(millis, perSecond, cost, shares);
  }

  private void play(long millis, double perSecond, long cost, double[] shares) {
    for (long end = now + millis; now < end; now += STEP_MILLIS) {
      runLater();
      openConnections();
      deliver();
      refund();
      runFurther();
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
    if (entries.get(entry).ended) {
      return;
    }
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
        ran(at.meter, decision.charge());
      }
      if (at.meter.reportUrgent(ACCOUNT, now)) {
        at.dueMillis = Math.min(at.dueMillis, now + settings.urgentMillis());
      }
    } else if (within) {
      refusedUnits += cost;
    }
  }

  private void ran(QuotaMeter<Integer> meter, QuotaCharge charge) {
    long cost = charge.units();
    admitted.add(new long[] {now, cost});
    runs.add(new Run(now, meter, charge));
    if (runAgainFraction > 0 && random.nextDouble() < runAgainFraction) {
      furtherRuns.add(new FurtherRun(now, now + DEADLINE_MILLIS, meter, charge));
    }
  }

  private void runFurther() {
    while (!furtherRuns.isEmpty() && furtherRuns.peek().dueMillis <= now) {
      FurtherRun next = furtherRuns.poll();
      switch (next.meter.admitFurtherRun(ACCOUNT, next.before.units(), now)) {
        case QuotaDecision.Admitted further -> {
          admitted.add(new long[] {now, next.before.units()});
          runs.add(new Run(now, next.meter, further.charge()));
        }
        case QuotaDecision.Exceeded refused when now < next.deadlineMillis ->
            furtherRuns.add(next.at(now + FURTHER_RUN_RETRY_MILLIS));
        case QuotaDecision.Exceeded refused -> lostFurtherRuns++;
      }
    }
    runs.removeIf(run -> run.sentMillis < now - LONGEST_RUN_MILLIS);
  }

  /** Lets requests wait on, or run if their time has come. */
  private void serveWaiting() {
    while (!waiting.isEmpty() && waiting.peek().dueMillis <= now) {
      Waiting next = waiting.poll();
      QuotaCharge renewed = next.meter.renew(next.charge, now);
      if (next.runMillis <= now) {
        ran(next.meter, renewed);
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
    if (!exchanging || entry.ended || now < entry.dueMillis) {
      return;
    }
    entry.dueMillis = now + settings.intervalMillis(entry.meter.entryCount());
    Set<String> unknown = entry.meter.unknownEntries(now);
    for (int i : entry.relays()) {
      UsageRelay<Integer> to = relays.get(i);
      int generation = entry.generations[i];
      long sentMillis = now;
      List<UsageAtStep> usage = entry.meter.takeReport(i, now);
      int relay = i;
      send(
          number,
          () -> {
            if (entries.get(number).generations[relay] == generation) {
              to.recordReport(
                  number, tolerance.windowMillis(), sentMillis, usage, unknown, relayNow(relay));
              if (to.hasUnforwardedUsage()) {
                relayDueMillis[relay] =
                    Math.min(relayDueMillis[relay], now + settings.urgentMillis());
              }
            }
          });
    }
  }

  private void relay() {
    for (int i = 0; i < agents; i++) {
      if (exchanging && !lostAgents[i] && now >= relayDueMillis[i]) {
        UsageRelay<Integer> from = relays.get(i);
        relayDueMillis[i] = now + settings.intervalMillis(entries.size());
        int relay = i;
        long step = UsageSteps.stepOf(relayNow(i));
        from.forwardUsage(
            relayNow(i),
            (number, usage, status) -> {
              int generation = entries.get(number).generations[relay];
              send(
                  number,
                  () -> {
                    if (entries.get(number).generations[relay] == generation) {
                      entries.get(number).meter.usageReported(relay, step, usage, status, now);
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

  /** Returns how many requests were not run again before their deadline. */
  long lostFurtherRuns() {
    return lostFurtherRuns;
  }

  long messages() {
    return messages;
  }

  static Quota tokens(long rate, long burst) {
    return new Quota(QuotaUnit.TOKENS, rate, burst, 200);
  }

  private static final class Entry {

    private final boolean[] connected;

    /** Counts the connections to each agent; a message belongs to one of them. */
    private final int[] generations;

    private QuotaMeter<Integer> meter;
    private long incarnation;
    private long dueMillis;
    private boolean partitioned;
    private boolean ended;

    Entry(int agents) {
      connected = new boolean[agents];
      generations = new int[agents];
    }

    private int[] relays() {
      return IntStream.range(0, connected.length).filter(i -> connected[i]).limit(RELAYS).toArray();
    }
  }

  private record Run(long sentMillis, QuotaMeter<Integer> meter, QuotaCharge charge) {}

  private record FurtherRun(
      long dueMillis, long deadlineMillis, QuotaMeter<Integer> meter, QuotaCharge before) {

    private FurtherRun at(long millis) {
      return new FurtherRun(millis, deadlineMillis, meter, before);
    }
  }

  private record Opening(long atMillis, int entry, int agent) {}

  private record Later(long atMillis, Runnable action) {}

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

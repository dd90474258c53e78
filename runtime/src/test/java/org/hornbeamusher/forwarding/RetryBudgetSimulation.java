package org.hornbeamusher.forwarding;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;

/**
 * Entries that retry for one service, in simulated time. Its endpoints either serve or refuse every
 * send. Entries can be replaced by new processes at any time, callers can move between them, and
 * retries can wait before they are sent.
 */
final class RetryBudgetSimulation {

  private static final String SERVICE = "s";
  private static final long STEP_MILLIS = 10;
  private static final double MILLIS_PER_SECOND = 1_000;

  private final ServiceRetrySettings settings;
  private final int entryCount;
  private final int releaseMillis;
  private final Random random;
  private final Map<Integer, SharedRetryBudget> entries = new HashMap<>();
  private final List<WaitingRetry> waiting = new ArrayList<>();

  /** Arrival times, in order. */
  private final List<Long> requests = new ArrayList<>();

  private final List<Long> retries = new ArrayList<>();
  private long now;

  RetryBudgetSimulation(ServiceRetrySettings settings, int entryCount, long seed) {
    this(settings, entryCount, seed, 0);
  }

  /**
   * Creates a simulation.
   *
   * @param settings the budget
   * @param entryCount the number of entries
   * @param seed decides which entries callers reach
   * @param releaseMillis retries wait until the next multiple of this time; 0 to send at once
   */
  RetryBudgetSimulation(
      ServiceRetrySettings settings, int entryCount, long seed, int releaseMillis) {
    this.settings = settings;
    this.entryCount = entryCount;
    this.releaseMillis = releaseMillis;
    this.random = new Random(seed);
    for (int entry = 0; entry < entryCount; entry++) {
      restart(entry);
    }
  }

  /** Replaces an entry by a new process; what waits there is lost. */
  void restart(int entry) {
    waiting.removeIf(retry -> retry.entry() == entries.get(entry));
    entries.put(entry, new SharedRetryBudget(settings, now));
  }

  /**
   * Lets callers send requests that the endpoints serve.
   *
   * @param millis how long
   * @param perSecond requests a second over all entries
   */
  void serve(long millis, double perSecond) {
    run(millis, perSecond, entryCount, false);
  }

  /**
   * Lets callers send requests to some of the entries, and these retry whenever they may.
   *
   * @param millis how long
   * @param perSecond requests a second over all entries
   * @param used the number of entries that callers reach
   */
  void refuse(long millis, double perSecond, int used) {
    run(millis, perSecond, used, true);
  }

  private void run(long millis, double perSecond, int used, boolean refused) {
    for (long end = now + millis; now < end; now += STEP_MILLIS) {
      sendDueRetries();
      double due = perSecond * STEP_MILLIS / MILLIS_PER_SECOND;
      int count = (int) due + (random.nextDouble() < due % 1 ? 1 : 0);
      for (int i = 0; i < count; i++) {
        request(entries.get(random.nextInt(used)), refused);
      }
    }
  }

  private void request(SharedRetryBudget entry, boolean refused) {
    requests.add(now);
    entry.recordRequest(SERVICE, now);
    while (refused && entry.tryTake(SERVICE, entryCount, now)) {
      waiting.add(new WaitingRetry(entry, nextRelease()));
    }
    sendDueRetries();
  }

  private long nextRelease() {
    return releaseMillis == 0 ? now : (now / releaseMillis + 1) * releaseMillis;
  }

  private void sendDueRetries() {
    waiting.removeIf(
        retry -> {
          boolean due = retry.sendMillis() <= now;
          if (due) {
            retry.entry().retrySent(SERVICE);
            retries.add(now);
          }
          return due;
        });
  }

  int retriesIn(long from, long to) {
    return countIn(retries, from, to);
  }

  /** Returns by how much the retries of any window exceed the budget; negative if none does. */
  double maximumExcess() {
    double excess = Double.NEGATIVE_INFINITY;
    for (long from : retries) {
      excess = Math.max(excess, retriesIn(from, from + settings.windowMillis()) - budget(from));
    }
    return excess;
  }

  /** The requests of the window, of the one before it or of the one half a window before count. */
  private double budget(long from) {
    long window = settings.windowMillis();
    int counted = 0;
    for (long start : new long[] {from, from - window / 2, from - window}) {
      counted = Math.max(counted, countIn(requests, start, start + window));
    }
    return settings.retryRatio() * counted + settings.fixedRetries();
  }

  /** Counts the times from {@code from} to before {@code to}. */
  private static int countIn(List<Long> times, long from, long to) {
    return firstAtOrAfter(times, to) - firstAtOrAfter(times, from);
  }

  private static int firstAtOrAfter(List<Long> times, long at) {
    int low = 0;
    int high = times.size();
    while (low < high) {
      int middle = (low + high) / 2;
      if (times.get(middle) < at) {
        low = middle + 1;
      } else {
        high = middle;
      }
    }
    return low;
  }

  /** A retry that was granted and is sent later. */
  private record WaitingRetry(SharedRetryBudget entry, long sendMillis) {}
}

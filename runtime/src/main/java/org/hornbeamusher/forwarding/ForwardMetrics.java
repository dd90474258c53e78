package org.hornbeamusher.forwarding;

import com.codahale.metrics.Counter;
import com.codahale.metrics.Gauge;
import com.codahale.metrics.Histogram;
import com.codahale.metrics.MetricRegistry;
import java.util.HashMap;
import java.util.Map;
import java.util.function.Supplier;
import org.hornbeamusher.accounts.AccountName;

/**
 * What an entry counts: requests by how they ended, attempts by how they ended, and the times that
 * callers feel.
 */
final class ForwardMetrics {

  private static final String PREFIX = "entry.";

  /** Accounts that are counted by name; the others are counted together. */
  private static final int MOST_ACCOUNTS = 64;

  private static final String OTHER_ACCOUNTS = "other-accounts";

  private final MetricRegistry registry;
  private final Histogram requestMillis;
  private final Histogram firstEventMillis;
  private final Histogram attemptMillis;
  private final Histogram loadStallMillis;

  /** By how they ended; the registry would look each up by a name that is put together anew. */
  private final Map<String, Counter> requests = new HashMap<>();

  private final Map<String, Counter> attempts = new HashMap<>();
  private final Map<AccountName, AccountCounters> accounts = new HashMap<>();

  ForwardMetrics(MetricRegistry registry) {
    this.registry = registry;
    this.requestMillis = registry.histogram(PREFIX + "request_ms");
    this.firstEventMillis = registry.histogram(PREFIX + "first_event_ms");
    this.attemptMillis = registry.histogram(PREFIX + "attempt_ms");
    this.loadStallMillis = registry.histogram(PREFIX + "load_stall_ms");
  }

  /** A request is over. */
  void requestEnded(String cause, long tookMillis, long firstMillis) {
    counter(requests, "requests.", cause).inc();
    requestMillis.update(tookMillis);
    if (firstMillis >= 0) {
      firstEventMillis.update(firstMillis);
    }
  }

  /** A send to an endpoint is over. */
  void attemptEnded(String end, long tookMillis) {
    counter(attempts, "attempts.", end).inc();
    attemptMillis.update(tookMillis);
  }

  private Counter counter(Map<String, Counter> known, String kind, String end) {
    return known.computeIfAbsent(end, unused -> registry.counter(PREFIX + kind + end));
  }

  /** A request of a client account is over. */
  void accountEnded(AccountName account, boolean refused) {
    AccountCounters counters = accounts.get(account);
    if (counters == null) {
      boolean own = accounts.size() < MOST_ACCOUNTS;
      counters = new AccountCounters(registry, own ? account.value() : OTHER_ACCOUNTS);
      accounts.put(account, counters);
    }
    (refused ? counters.refused : counters.answered).inc();
  }

  /** A request waited for its adapter before it was sent. */
  void stalled(long millis) {
    loadStallMillis.update(millis);
  }

  /** A request to an endpoint that limits its rate may be sent, or not within its time. */
  void permitDecided(boolean granted) {
    registry.counter(PREFIX + "rate_permits." + (granted ? "granted" : "refused")).inc();
  }

  /** An entry of the list of endpoints cannot be used, or for another reason than before. */
  void entryUnusable() {
    registry.counter(PREFIX + "list.unusable").inc();
  }

  /** Registers a value that is read when somebody asks. */
  void gauge(String name, Supplier<Number> value) {
    Gauge<Number> gauge = value::get;
    registry.gauge(PREFIX + name, () -> gauge);
  }

  /** What is counted of one client account. */
  private static final class AccountCounters {

    private final Counter answered;
    private final Counter refused;

    AccountCounters(MetricRegistry registry, String name) {
      answered = registry.counter(PREFIX + "accounts." + name + ".answered");
      refused = registry.counter(PREFIX + "accounts." + name + ".refused");
    }
  }
}

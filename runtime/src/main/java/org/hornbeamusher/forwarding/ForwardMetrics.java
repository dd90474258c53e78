package org.hornbeamusher.forwarding;

import com.codahale.metrics.Counter;
import com.codahale.metrics.Gauge;
import com.codahale.metrics.Histogram;
import com.codahale.metrics.MetricRegistry;
import java.util.HashMap;
import java.util.Map;
import java.util.function.Supplier;
import org.hornbeamusher.accounts.AccountName;

/** The metrics of an entry: requests and attempts by outcome, and latencies. */
final class ForwardMetrics {

  private static final String PREFIX = "entry.";

  /** Most accounts that are counted by name; the others are counted together. */
  private static final int MAX_ACCOUNTS = 64;

  private static final String OTHER_ACCOUNTS = "other-accounts";

  private final MetricRegistry registry;
  private final Histogram requestMillis;
  private final Histogram firstEventMillis;
  private final Histogram attemptMillis;
  private final Histogram loadStallMillis;
  private final Histogram forecastErrorMillis;

  /** Counters by outcome, cached to avoid building their names for each lookup in the registry. */
  private final Map<String, Counter> requests = new HashMap<>();

  private final Map<String, Counter> attempts = new HashMap<>();
  private final Map<AccountName, AccountCounters> accounts = new HashMap<>();

  ForwardMetrics(MetricRegistry registry) {
    this.registry = registry;
    this.requestMillis = registry.histogram(PREFIX + "request_ms");
    this.firstEventMillis = registry.histogram(PREFIX + "first_event_ms");
    this.attemptMillis = registry.histogram(PREFIX + "attempt_ms");
    this.loadStallMillis = registry.histogram(PREFIX + "load_stall_ms");
    this.forecastErrorMillis = registry.histogram(PREFIX + "forecast_error_ms");
  }

  /** Records the end of a request. */
  void requestEnded(String cause, long tookMillis, long firstMillis) {
    counter(requests, "requests.", cause).inc();
    requestMillis.update(tookMillis);
    if (firstMillis >= 0) {
      firstEventMillis.update(firstMillis);
    }
  }

  /** Records the end of an attempt. */
  void attemptEnded(String end, long tookMillis) {
    counter(attempts, "attempts.", end).inc();
    attemptMillis.update(tookMillis);
  }

  private Counter counter(Map<String, Counter> known, String kind, String end) {
    return known.computeIfAbsent(end, unused -> registry.counter(PREFIX + kind + end));
  }

  /** Records the end of a request of a client account. */
  void accountEnded(AccountName account, boolean refused) {
    AccountCounters counters = counters(account);
    (refused ? counters.refused : counters.answered).inc();
  }

  private AccountCounters counters(AccountName account) {
    AccountCounters counters = accounts.get(account);
    if (counters == null) {
      boolean own = accounts.size() < MAX_ACCOUNTS;
      counters = new AccountCounters(registry, own ? account.value() : OTHER_ACCOUNTS);
      accounts.put(account, counters);
    }
    return counters;
  }

  /** Records how long a request waited for its adapter before it was sent. */
  void stalled(long millis) {
    loadStallMillis.update(millis);
  }

  /** Records a response to an agent about its loads from the weight store. */
  void loadPermitsStated(boolean paced) {
    registry.counter(PREFIX + "load_permits." + (paced ? "paced" : "unpaced")).inc();
  }

  /** Records by how much a first event came later than forecast; negative if it came earlier. */
  void forecastError(long millis) {
    forecastErrorMillis.update(millis);
  }

  /** Records that a request waits at the entry for capacity. */
  void held() {
    registry.counter(PREFIX + "held").inc();
  }

  /** Records that a request was refused because of its forecast, when placed or while waiting. */
  void refusedByForecast(String stage) {
    registry.counter(PREFIX + "forecast_refusals." + stage).inc();
  }

  /** Records that a refused caller was told when to return, with capacity promised or not. */
  void returnPlanned(boolean promised) {
    registry.counter(PREFIX + "returns." + (promised ? "promised" : "too_late")).inc();
  }

  /** Records the decision about a request to a rate-limited endpoint. */
  void permitDecided(boolean granted) {
    registry.counter(PREFIX + "rate_permits." + (granted ? "granted" : "refused")).inc();
  }

  /** Records the decision of the retry budget about a retry. */
  void retryDecided(boolean granted) {
    registry.counter(PREFIX + "retries." + (granted ? "granted" : "denied")).inc();
  }

  /** Records that a request was ranked down because it is beyond its account's fair share. */
  void rankedDown(AccountName account) {
    registry.counter(PREFIX + "shares.ranked_down").inc();
    counters(account).beyondShare.inc();
  }

  /** Records that a request was refused because it is beyond its account's fair share. */
  void refusedBeyondShare() {
    registry.counter(PREFIX + "shares.refused").inc();
  }

  /** Records that a caller resumes a stream. */
  void streamResumed(boolean known) {
    registry.counter(PREFIX + "streams.resumed." + (known ? "known" : "unknown")).inc();
  }

  /** Records that an endpoint crashed while it ran a request. */
  void crashRecorded() {
    registry.counter(PREFIX + "crashes.recorded").inc();
  }

  /** Records that a request was refused because of its content. */
  void crashingRequestRefused() {
    registry.counter(PREFIX + "crashes.refused").inc();
  }

  /** Records that an entry of the endpoint list is unusable, also when its reason has changed. */
  void entryUnusable() {
    registry.counter(PREFIX + "list.unusable").inc();
  }

  /** Registers a value that is read on demand. */
  void gauge(String name, Supplier<Number> value) {
    Gauge<Number> gauge = value::get;
    registry.gauge(PREFIX + name, () -> gauge);
  }

  /** The counters of one client account. */
  private static final class AccountCounters {

    private final Counter answered;
    private final Counter refused;
    private final Counter beyondShare;

    AccountCounters(MetricRegistry registry, String name) {
      answered = registry.counter(PREFIX + "accounts." + name + ".answered");
      refused = registry.counter(PREFIX + "accounts." + name + ".refused");
      beyondShare = registry.counter(PREFIX + "accounts." + name + ".beyond_share");
    }
  }
}

package org.hornbeamusher.forwarding;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Supplier;
import java.util.stream.Collectors;
import org.hornbeamusher.accounts.AccountName;
import org.hornbeamusher.accounts.ClientAccount;
import org.hornbeamusher.events.EventLog;
import org.hornbeamusher.events.EventType;
import org.hornbeamusher.failure.FailureType;
import org.hornbeamusher.quota.QuotaCharge;
import org.hornbeamusher.quota.QuotaDecision;
import org.hornbeamusher.quota.QuotaState;
import org.hornbeamusher.quota.StatedUnits;

/** Logs how the quotas of client accounts were applied. Confined to the event loop. */
final class QuotaLog {

  /** Shortest time between two lines of one kind about one account. */
  private static final long INTERVAL_MILLIS = 1_000;

  private static final int MAX_ACCOUNTS = 10_000;

  /** When a line about admitted requests was last written. */
  private final Map<AccountName, Long> admitted = new LatestAccounts<>();

  /** What was charged and refunded beyond admissions since the last such line of an account. */
  private final Map<AccountName, Corrections> corrections = new LatestAccounts<>();

  /** What was not written yet of the decreases of an account. */
  private final Map<AccountName, Decrease> decreases = new LatestAccounts<>();

  /**
   * Logs what an admission was based on if its account is near its limit.
   *
   * @param stated what each relay states of the usage of the account
   */
  void admitted(
      String id,
      ClientAccount holder,
      QuotaDecision.Admitted decision,
      long configuration,
      Supplier<List<StatedUnits>> stated,
      long now) {
    AccountName account = holder.name();
    QuotaState state = decision.state();
    if (!state.isNearLimit()
        || now - admitted.getOrDefault(account, now - INTERVAL_MILLIS) < INTERVAL_MILLIS) {
      return;
    }
    admitted.put(account, now);
    Corrections since = corrections.getOrDefault(account, new Corrections());
    corrections.remove(account);
    log(
        EventType.QUOTA_CHARGED,
        id,
        account,
        state,
        "configuration",
        configuration,
        "cost",
        decision.charge().units(),
        "rate_per_s",
        holder.quota().ratePerSecond(),
        "burst",
        holder.quota().burst(),
        "level",
        state.level(),
        "relay_units",
        stated.get().stream().map(QuotaLog::text).collect(Collectors.joining(",")),
        "further_units",
        since.furtherUnits,
        "renewed_units",
        since.renewedUnits,
        "refunded_units",
        since.refundedUnits);
  }

  /** Records that the charge of a request that waits was dated anew. */
  void renewed(QuotaCharge charge) {
    corrections(charge.account()).renewedUnits += charge.units();
  }

  /** Logs the charge of a send after one that may have run, and what was known before it. */
  void furtherRun(String id, QuotaDecision.Admitted decision, int earlierRuns) {
    QuotaCharge charge = decision.charge();
    corrections(charge.account()).furtherUnits += charge.units();
    logFurtherRun(EventType.FURTHER_RUN_CHARGED, id, charge, earlierRuns, decision.state(), 0);
  }

  /** Logs that a send after one that may have run waits for the quota. */
  void furtherRunDelayed(
      String id, QuotaCharge before, QuotaDecision.Exceeded decision, int earlierRuns) {
    logFurtherRun(
        EventType.FURTHER_RUN_DELAYED,
        id,
        before,
        earlierRuns,
        decision.state(),
        decision.retryAfterMillis());
  }

  private static void logFurtherRun(
      EventType event,
      String id,
      QuotaCharge charge,
      int earlierRuns,
      QuotaState state,
      long waitMillis) {
    log(
        event,
        id,
        charge.account(),
        state,
        "units",
        charge.units(),
        "earlier_runs",
        earlierRuns,
        "wait_ms",
        waitMillis);
  }

  /** Logs an event with what a decision was based on. */
  private static void log(
      EventType event, String id, AccountName account, QuotaState state, Object... fields) {
    List<Object> all =
        new ArrayList<>(
            List.of(
                "id",
                id,
                "account",
                account,
                "local_units",
                state.localUnits(),
                "remote_units",
                state.remoteUnits(),
                "limit_units",
                state.limitUnits(),
                "reachable",
                state.reachable(),
                "entries",
                state.entries(),
                "update_age_ms",
                state.updateAgeMillis(),
                "coverage",
                state.coverage().label(),
                "window_known",
                state.windowKnown()));
    all.addAll(Arrays.asList(fields));
    EventLog.log(event, all.toArray());
  }

  private static String text(StatedUnits stated) {
    return stated.relay() + "=" + stated.units() + (stated.connected() ? "" : " lost");
  }

  private Corrections corrections(AccountName account) {
    return corrections.computeIfAbsent(account, unused -> new Corrections());
  }

  void refused(
      String id,
      ClientAccount account,
      long cost,
      QuotaDecision.Exceeded decision,
      long configuration) {
    QuotaState state = decision.state();
    log(
        EventType.ACCOUNT_REFUSED,
        id,
        account.name(),
        state,
        "cause",
        FailureType.QUOTA_EXCEEDED.label(),
        "configuration",
        configuration,
        "cost",
        cost,
        "level",
        state.level(),
        "rate_per_s",
        account.quota().ratePerSecond(),
        "retry_after_ms",
        decision.retryAfterMillis());
  }

  void refunded(String id, QuotaCharge charge, long now) {
    corrections(charge.account()).refundedUnits += charge.units();
    EventLog.log(
        EventType.QUOTA_REFUNDED,
        "id",
        id,
        "account",
        charge.account(),
        "units",
        charge.units(),
        "charged_ms",
        now - charge.chargedMillis());
  }

  /**
   * Logs that the usage of the other entries, as far as known here, has decreased; decreases in one
   * second are added up.
   */
  void remoteUsageDecreased(AccountName account, Object relay, long units, long now) {
    Decrease decrease = decreases.computeIfAbsent(account, unused -> new Decrease());
    decrease.units += units;
    if (now - decrease.loggedMillis >= INTERVAL_MILLIS) {
      EventLog.log(
          EventType.QUOTA_USAGE_DECREASED,
          "account",
          account,
          "relay",
          relay,
          "units",
          decrease.units);
      decrease.units = 0;
      decrease.loggedMillis = now;
    }
  }

  private static final class Corrections {

    private long furtherUnits;
    private long renewedUnits;
    private long refundedUnits;
  }

  private static final class Decrease {

    private long units;
    private long loggedMillis = Long.MIN_VALUE / 2;
  }

  /** Keeps the accounts that were added last. */
  private static final class LatestAccounts<V> extends LinkedHashMap<AccountName, V> {

    private static final long serialVersionUID = 1L;

    @Override
    protected boolean removeEldestEntry(Map.Entry<AccountName, V> eldest) {
      return size() > MAX_ACCOUNTS;
    }
  }
}

package org.hornbeamusher.quota;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;
import java.util.function.DoubleSupplier;
import org.hornbeamusher.accounts.AccountName;
import org.hornbeamusher.accounts.ClientAccount;
import org.hornbeamusher.membership.RecentMaximumPeerCount;

/**
 * Distributed token bucket: decides at one entry whether a request is within the quota of its
 * client account, which all entries share.
 *
 * <p><b>Algorithm.</b> Each entry keeps a copy of each account's token bucket and decides by that
 * copy alone, without exchanging messages for a request:
 *
 * <ol>
 *   <li>A request is admitted while the level is above zero, and its cost is subtracted at once.
 *   <li>Entries report what they admitted to two relays, which add it up and forward to each entry
 *       what the others admitted; that lowers the copies of the other entries. Usage that two
 *       entries admitted at the same time makes the level negative and must be refilled before the
 *       next request is admitted.
 *   <li>An update is as old as the report of this entry that it answers. One that is too old counts
 *       as none.
 *   <li>An entry that reports to no relay counts as using its even share of the rate, and an entry
 *       that no relay reaches limits itself to its even share of what was left to all when it was
 *       last reached. So the sum stays within the limit when entries cannot reach each other, and
 *       when callers move from entries that have used the quota to others at that time.
 *   <li>Two entries may know all others and not each other, if they report to different relays.
 *       Entries therefore name those whose usage they may not know, and an entry that another one
 *       names limits itself to its even share, too. Across a partition entries do not learn that
 *       they are named, and those of a side use their part of the quota together.
 *   <li>Relays that have just started know only the entries that connected first. Until a relay has
 *       known the same entries for a while, a number of entries is assumed.
 *   <li>While no relay has added up usage for a whole window, what ended processes admitted in it
 *       may be unknown. Until then no part of the tolerance of the quota is used.
 *   <li>A further run of a request that may have run is charged, too, and is admitted up to a limit
 *       above that of admissions.
 *   <li>Between two updates an entry charges at most a few times its even share of the burst, which
 *       bounds what is admitted by entries that have not yet detected that they are partitioned.
 * </ol>
 *
 * <p>A bucket starts empty: entries that all restart at once must not grant the burst twice, and
 * the rate refills it faster than an account within its quota uses it up.
 *
 * <p>{@link WindowedUsage} holds what is known of the others' usage.
 *
 * <p><b>Load.</b> Callers reach the entries unevenly, and an account may request many times its
 * quota at all of them. A request refused within the quota is lost to its caller; one admitted
 * beyond the quota takes capacity from other accounts.
 *
 * <p><b>Rejected alternatives.</b> Fixed shares of the quota refuse callers within it as soon as
 * they reach entries unevenly. Grants from one holder for each account stop while that holder is
 * lost.
 *
 * @param <R> identifies a relay
 */
public final class QuotaMeter<R> {

  /**
   * An entry that has left keeps its share for this long; one that is partitioned does not lose it.
   */
  private static final long ENTRY_COUNT_WINDOW_MILLIS = 30_000;

  /** Longer than processes that start at the same time need to connect one after another. */
  private static final long ENTRIES_SETTLED_MILLIS = 2_000;

  private static final long RENEWALS_PER_WINDOW = 8;

  private static final QuotaState UNLIMITED =
      new QuotaState(0, 0, 0, 0, 1, 1, -1, UsageCoverage.COMPLETE, true);

  private final QuotaSettings settings;
  private final QuotaTolerance tolerance;
  private final DoubleSupplier random;
  private final Map<AccountName, QuotaBucket> buckets = new HashMap<>();

  /** The buckets of accounts that have no limit any more, until their usage has left the window. */
  private final Map<AccountName, QuotaBucket> retired = new HashMap<>();

  private final WindowedUsage<R, AccountName> usage;
  private final Set<R> connected = new HashSet<>();

  /** The connected relays that have reported; few of many that could. */
  private final Map<R, RelayState> relays = new HashMap<>();

  private final RecentMaximumPeerCount entryCounts =
      new RecentMaximumPeerCount(ENTRY_COUNT_WINDOW_MILLIS);

  /**
   * When all processes have just started, each relay has a part of the entries. Until one has had
   * the same for a while, those that are missing are assumed.
   */
  private boolean entriesSettled;

  /** When this entry sent the newest report that a relay is known to have received. */
  private long sharedUntilMillis = RelayState.NEVER;

  /**
   * Creates a meter without accounts.
   *
   * @param settings how entries share quotas
   * @param tolerance the tolerance with which operators check quotas
   * @param random returns numbers from 0 to 1
   */
  public QuotaMeter(QuotaSettings settings, QuotaTolerance tolerance, DoubleSupplier random) {
    this.random = random;
    this.settings = settings;
    this.tolerance = tolerance;
    this.usage = new WindowedUsage<>(tolerance.windowMillis(), AccountName::value);
  }

  /**
   * Applies the accounts of a configuration. An existing bucket keeps its level, up to the new
   * burst, and its usage. So does the bucket of an account that returns within the window.
   *
   * @param accounts all accounts by name
   * @param now milliseconds
   */
  public void updateAccounts(Map<AccountName, ClientAccount> accounts, long now) {
    List.copyOf(buckets.keySet()).stream()
        .filter(name -> !limited(accounts.get(name)))
        .forEach(name -> retired.put(name, buckets.remove(name)));
    retired.values().removeIf(bucket -> bucket.isUnused(now));
    accounts.values().stream().filter(QuotaMeter::limited).forEach(one -> configure(one, now));
  }

  private static boolean limited(ClientAccount account) {
    return account != null && account.quota().limited();
  }

  private void configure(ClientAccount account, long now) {
    QuotaBucket returned = retired.remove(account.name());
    if (returned != null) {
      buckets.put(account.name(), returned);
    }
    QuotaBucket known = buckets.get(account.name());
    if (known == null) {
      buckets.put(account.name(), new QuotaBucket(settings, tolerance, account.quota(), now));
    } else {
      refill(known, now);
      known.updateQuota(account.quota());
    }
  }

  /**
   * Returns whether any account has a limit; otherwise there is nothing to report.
   *
   * @return whether entries need to exchange usage
   */
  public boolean active() {
    return !buckets.isEmpty();
  }

  /**
   * Decides on a request and charges it if it is admitted.
   *
   * @param account the account of the caller
   * @param cost the cost of the request in units of the account's quota
   * @param now milliseconds
   * @return whether the request is within the quota
   */
  public QuotaDecision admit(AccountName account, long cost, long now) {
    QuotaBucket bucket = buckets.get(account);
    if (bucket == null) {
      return new QuotaDecision.Admitted(new QuotaCharge(account, 0, now), UNLIMITED);
    }
    refill(bucket, now);
    KnownEntries known = knownEntries(now);
    WindowSum remote = usage.remote(account, now);
    QuotaState state = bucket.state(remote, known, updateAgeMillis(now), now);
    if (!bucket.mayAdmit(cost, remote, known, random.getAsDouble(), now)) {
      return new QuotaDecision.Exceeded(bucket.retryAfterMillis(cost, remote, known, now), state);
    }
    bucket.charge(cost, now);
    return charged(account, cost, state, now);
  }

  /**
   * Decides on a further run of a request that was admitted before and may have run, and charges it
   * if it is admitted. It is refused only when all requests are.
   *
   * @param account the account of the caller
   * @param cost the cost of the request in units of the account's quota
   * @param now milliseconds
   * @return whether it is within the quota
   */
  public QuotaDecision admitFurtherRun(AccountName account, long cost, long now) {
    QuotaBucket bucket = buckets.get(account);
    if (bucket == null) {
      return new QuotaDecision.Admitted(new QuotaCharge(account, 0, now), UNLIMITED);
    }
    refill(bucket, now);
    KnownEntries known = knownEntries(now);
    WindowSum remote = usage.remote(account, now);
    QuotaState state = bucket.furtherRunState(remote, known, updateAgeMillis(now), now);
    if (!bucket.mayRunAgain(cost, remote, known, random.getAsDouble(), now)) {
      return new QuotaDecision.Exceeded(
          bucket.furtherRunAfterMillis(cost, remote, known, now), state);
    }
    bucket.chargeFurtherRun(cost, now);
    return charged(account, cost, state, now);
  }

  private QuotaDecision charged(AccountName account, long cost, QuotaState state, long now) {
    usage.add(account, cost, now, now);
    return new QuotaDecision.Admitted(new QuotaCharge(account, cost, now), state);
  }

  /**
   * Dates a charge now, so that it counts for a whole window from now on.
   *
   * @param charge the charge of a request that has not been sent
   * @param now milliseconds
   * @return the charge as it is now
   */
  public QuotaCharge renew(QuotaCharge charge, long now) {
    QuotaBucket bucket = bucket(charge.account());
    if (bucket == null || charge.units() == 0) {
      return charge;
    }
    bucket.renew(charge.units(), charge.chargedMillis(), now);
    usage.add(charge.account(), -charge.units(), charge.chargedMillis(), now);
    usage.add(charge.account(), charge.units(), now, now);
    return new QuotaCharge(charge.account(), charge.units(), now);
  }

  /**
   * Returns after how long the charge of a request that waits must be renewed.
   *
   * @return milliseconds, well below the window
   */
  public long renewalMillis() {
    return tolerance.windowMillis() / RENEWALS_PER_WINDOW;
  }

  private QuotaBucket bucket(AccountName account) {
    return buckets.getOrDefault(account, retired.get(account));
  }

  /**
   * Refunds the charge of a request that has not run and will not run.
   *
   * @param charge the charge
   * @param now milliseconds
   */
  public void refund(QuotaCharge charge, long now) {
    QuotaBucket bucket = bucket(charge.account());
    if (bucket != null && charge.units() > 0) {
      bucket.refund(charge.units(), charge.chargedMillis(), now);
      usage.add(charge.account(), -charge.units(), charge.chargedMillis(), now);
    }
  }

  /**
   * Returns whether the usage of an account must be reported to the other entries soon.
   *
   * @param account the account
   * @param now milliseconds
   * @return whether it is near its limit, or much was charged here since the last update
   */
  public boolean reportUrgent(AccountName account, long now) {
    QuotaBucket bucket = buckets.get(account);
    return bucket != null && bucket.reportUrgent(entryCount());
  }

  /**
   * Records that a connection to a relay was opened; usage is reported to it from now on.
   *
   * @param relay the relay
   * @param now milliseconds
   */
  public void relayConnected(R relay, long now) {
    usage.relayConnected(relay, now);
    connected.add(relay);
    relays.remove(relay);
  }

  /**
   * Records that the connection to a relay was lost.
   *
   * @param relay the relay
   */
  public void relayDisconnected(R relay) {
    usage.relayDisconnected(relay);
    connected.remove(relay);
    relays.remove(relay);
  }

  /**
   * Returns the usage not yet reported to a relay and marks it as reported.
   *
   * @param relay a connected relay
   * @param now milliseconds
   * @return the steps that have changed; empty if there is nothing new
   */
  public List<UsageAtStep> takeReport(R relay, long now) {
    return usage.takeReport(relay, now);
  }

  /**
   * Returns for how long usage counts.
   *
   * @return milliseconds
   */
  public long windowMillis() {
    return tolerance.windowMillis();
  }

  /**
   * Applies a report of a relay.
   *
   * @param relay the relay
   * @param step the relay's step when it made the report
   * @param reported the steps in which the usage of other entries has changed
   * @param status what the relay knows of the entries
   * @param now milliseconds
   * @return by how many units the known usage of others has decreased, by account; empty if it has
   *     not
   */
  public Map<AccountName, Long> usageReported(
      R relay, long step, List<UsageAtStep> reported, RelayStatus status, long now) {
    if (!connected.contains(relay)) {
      return Map.of();
    }
    RelayState from = relays.computeIfAbsent(relay, unused -> new RelayState());
    from.status = status;
    from.reportedMillis = now;
    usage.relayUpdated(relay, settings.unreachableAfterMillis(entryCount()), now);
    entryCounts.record(status.entries(), now);
    entriesSettled |= status.settledMillis() >= ENTRIES_SETTLED_MILLIS;
    if (isCurrent(from, now) && !knownEntries(now).keepsToShare()) {
      sharedUntilMillis = Math.max(sharedUntilMillis, status.answeredMillis());
    }
    // An entry that keeps to its share refills that share alone.
    boolean charging = !knownEntries(now).isAlone();
    Map<AccountName, Long> changes = new HashMap<>();
    for (UsageAtStep one : reported) {
      AccountName account = new AccountName(one.name());
      long change = usage.receive(relay, account, one.step(), step, one.units(), now);
      if (charging) {
        chargeRemote(account, change, now);
      }
      changes.merge(account, change, Long::sum);
    }
    KnownEntries known = knownEntries(now);
    if (isCurrent(from, now) && status.reachable() >= known.reachable()) {
      buckets.forEach((account, bucket) -> remoteUsageUpdated(account, bucket, known, now));
    }
    Map<AccountName, Long> decreases = new HashMap<>();
    changes.forEach(
        (account, change) -> {
          if (change < 0) {
            decreases.put(account, -change);
          }
        });
    return decreases;
  }

  private void remoteUsageUpdated(
      AccountName account, QuotaBucket bucket, KnownEntries known, long now) {
    bucket.refill(known, now);
    bucket.remoteUsageUpdated(usage.remote(account, now), known, now);
  }

  private void chargeRemote(AccountName account, long units, long now) {
    QuotaBucket bucket = buckets.get(account);
    if (bucket != null) {
      refill(bucket, now);
      bucket.chargeRemote(units);
    }
  }

  private void refill(QuotaBucket bucket, long now) {
    bucket.refill(knownEntries(now), now);
  }

  private KnownEntries knownEntries(long now) {
    boolean windowKnown =
        relays.values().stream()
            .anyMatch(
                relay ->
                    isCurrent(relay, now)
                        && relay.status.knownMillis() >= tolerance.windowMillis());
    return new KnownEntries(
        reachableEntryCount(now), entryCount(), windowKnown, isHidden(now), sharedUntilMillis);
  }

  private boolean isHidden(long now) {
    return relays.values().stream()
        .anyMatch(relay -> relay.status.hidden() && isCurrent(relay, now));
  }

  /**
   * Returns the entries whose usage may not be known here: those that do not report to the relays
   * which receive the reports of most entries.
   *
   * @param now milliseconds
   * @return their names, as far as a relay has stated them
   */
  public Set<String> unknownEntries(long now) {
    int reachable = reachableEntryCount(now);
    if (reachable >= entryCount()) {
      return Set.of();
    }
    Set<String> unknown = new TreeSet<>();
    for (RelayState relay : relays.values()) {
      if (isCurrent(relay, now) && relay.status.reachable() == reachable) {
        unknown.addAll(relay.status.silentEntries());
      }
    }
    return unknown;
  }

  private boolean isReporting(RelayState relay, long now) {
    return now - relay.reportedMillis <= settings.unreachableAfterMillis(entryCount());
  }

  private boolean isCurrent(RelayState relay, long now) {
    return isReporting(relay, now)
        && now - relay.status.answeredMillis() <= settings.staleAfterMillis(entryCount());
  }

  /**
   * Returns what is known of the usage of the other entries.
   *
   * @param now milliseconds
   * @return the same for all accounts
   */
  public QuotaView view(long now) {
    KnownEntries known = knownEntries(now);
    long reporting = relays.values().stream().filter(relay -> isReporting(relay, now)).count();
    List<R> current = new ArrayList<>();
    long knownMillis = -1;
    for (Map.Entry<R, RelayState> relay : relays.entrySet()) {
      if (isCurrent(relay.getValue(), now)) {
        current.add(relay.getKey());
        knownMillis = Math.max(knownMillis, relay.getValue().status.knownMillis());
      }
    }
    return new QuotaView(
        known.coverage(),
        known.reachable(),
        known.entries(),
        unknownEntries(now).size(),
        known.windowKnown(),
        connected.size(),
        (int) reporting,
        current.stream().map(Object::toString).sorted().toList(),
        knownMillis,
        updateAgeMillis(now));
  }

  /**
   * Returns what each relay states of the usage of an account by the other entries.
   *
   * @param account the account
   * @param now milliseconds
   * @return units by relay, also of relays that were lost within the window
   */
  public List<StatedUnits> statedUnits(AccountName account, long now) {
    return usage.stated(account, now);
  }

  /**
   * Returns the number of entries that share the quotas.
   *
   * @return at least 1
   */
  public int entryCount() {
    int assumed = settings.assumedEntries();
    int stated = entryCounts.maximum().orElse(assumed);
    return entriesSettled ? stated : Math.max(stated, assumed);
  }

  /**
   * Returns the number of entries whose usage is known.
   *
   * @param now milliseconds
   * @return the number including this entry, so at least 1
   */
  public int reachableEntryCount(long now) {
    int max = 1;
    for (RelayState relay : relays.values()) {
      if (isCurrent(relay, now)) {
        max = Math.max(max, relay.status.reachable());
      }
    }
    return max;
  }

  /** Returns the age of the newest update of a connected relay, or -1 if there is none. */
  private long updateAgeMillis(long now) {
    return relays.values().stream()
        .mapToLong(relay -> now - relay.status.answeredMillis())
        .min()
        .orElse(-1);
  }

  /** What a relay reported last. */
  private static final class RelayState {

    private static final long NEVER = Long.MIN_VALUE / 2;

    private RelayStatus status = new RelayStatus(NEVER, 0, 0, 1, 1, List.of(), false);
    private long reportedMillis = NEVER;
  }
}

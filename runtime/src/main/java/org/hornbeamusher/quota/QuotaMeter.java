package org.hornbeamusher.quota;

import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.hornbeamusher.accounts.AccountName;
import org.hornbeamusher.accounts.ClientAccount;
import org.hornbeamusher.membership.PeerCount;

/**
 * Decides at one entry whether a request is within the quota of its client account, which all
 * entries share.
 *
 * <p><b>Load.</b> Callers reach entries unevenly, and an account may ask for many times its quota
 * at all of them. What is refused below the quota is lost to its caller; what is admitted beyond it
 * takes room from other accounts.
 *
 * <p><b>Algorithm.</b> Each entry keeps a copy of each account's token bucket and decides on it
 * alone, without a message on the way of a request:
 *
 * <ol>
 *   <li>A request is admitted while the level is above zero, and lowers it by its cost at once.
 *   <li>Entries report what they admitted to two relays, which add up and pass on what the others
 *       admitted; that lowers the copies of the other entries. Usage that two entries admitted at
 *       the same time makes the level negative and is paid back before the next request.
 *   <li>An entry that reports to no relay counts as using its even share of the rate, and an entry
 *       that no relay reaches keeps to its own even share. So the sum stays within the limit when
 *       entries cannot reach each other.
 *   <li>Between two updates an entry takes at most a few times its even share of the burst, which
 *       bounds what is admitted by entries that do not know yet that they are cut off.
 * </ol>
 *
 * <p>A bucket starts empty. Entries that all start again at once must not grant the burst twice,
 * and the rate refills it faster than an account within its quota uses it up.
 *
 * <p>Two relays pass on the same usage. Each sends increments on one connection, which start from
 * what is known when it opens; the larger sum counts, so that a relay that is lost or paused hides
 * nothing that the other one knows.
 *
 * <p>Rejected: fixed shares of the quota, which refuse callers within it as soon as they reach
 * entries unevenly; grants from one holder for each account, which stand still while it is lost.
 *
 * @param <R> identifies a relay
 */
public final class QuotaMeter<R> {

  /** An entry that has left still has a share for so long; one that is cut off keeps it. */
  private static final long ENTRIES_MILLIS = 30_000;

  private final QuotaSettings settings;
  private final QuotaTolerance tolerance;
  private final Map<AccountName, QuotaBucket> buckets = new HashMap<>();

  /** Units admitted here and run, less those given back, since the start. */
  private final Map<AccountName, Long> own = new HashMap<>();

  /** Units admitted elsewhere that are known here. */
  private final Map<AccountName, Long> elsewhere = new HashMap<>();

  private final Map<R, Relay> relays = new HashMap<>();
  private final PeerCount counts = new PeerCount(ENTRIES_MILLIS);

  /**
   * Creates a meter without accounts.
   *
   * @param settings how entries share
   * @param tolerance how the operators judge quotas
   */
  public QuotaMeter(QuotaSettings settings, QuotaTolerance tolerance) {
    this.settings = settings;
    this.tolerance = tolerance;
  }

  /**
   * Takes the accounts of a configuration. A bucket that is known keeps its level, up to the new
   * burst.
   *
   * @param accounts every account
   * @param now milliseconds
   */
  public void configured(Map<AccountName, ClientAccount> accounts, long now) {
    List.copyOf(buckets.keySet()).stream()
        .filter(name -> !limited(accounts.get(name)))
        .forEach(this::forget);
    accounts.values().stream().filter(QuotaMeter::limited).forEach(one -> set(one, now));
  }

  /** All sums of an account go together, so that their differences stay right if it returns. */
  private void forget(AccountName account) {
    buckets.remove(account);
    own.remove(account);
    elsewhere.remove(account);
    relays.values().forEach(relay -> relay.forget(account));
  }

  private static boolean limited(ClientAccount account) {
    return account != null && account.quota().limited();
  }

  private void set(ClientAccount account, long now) {
    QuotaBucket known = buckets.get(account.name());
    if (known == null) {
      buckets.put(account.name(), new QuotaBucket(settings, tolerance, account.quota(), now));
    } else {
      refill(known, now);
      known.configured(account.quota());
    }
  }

  /**
   * Returns whether any account has a limit; without one there is nothing to report.
   *
   * @return whether entries have usage to exchange
   */
  public boolean active() {
    return !buckets.isEmpty();
  }

  /**
   * Decides about a request and charges it if it is admitted.
   *
   * @param account who asks
   * @param cost in units of the account's quota
   * @param now milliseconds
   * @return whether it is within the quota
   */
  public QuotaDecision admit(AccountName account, long cost, long now) {
    QuotaBucket bucket = buckets.get(account);
    if (bucket == null) {
      return new QuotaDecision.Admitted(new QuotaCharge(account, 0, now));
    }
    refill(bucket, now);
    int entries = entries();
    int reachable = reachable(now);
    if (!bucket.open(reachable, entries, now)) {
      return new QuotaDecision.Exceeded(
          bucket.openAfterMillis(reachable, entries, now),
          Math.round(bucket.level()),
          reachable,
          entries);
    }
    bucket.take(cost, now);
    own.merge(account, cost, Long::sum);
    return new QuotaDecision.Admitted(new QuotaCharge(account, cost, now));
  }

  /**
   * Gives back what a request was charged that has not run and will not.
   *
   * @param charge what it was charged
   * @param now milliseconds
   */
  public void giveBack(QuotaCharge charge, long now) {
    QuotaBucket bucket = buckets.get(charge.account());
    if (bucket != null && charge.units() > 0) {
      bucket.giveBack(charge.units(), charge.chargedMillis(), now);
      own.merge(charge.account(), -charge.units(), Long::sum);
    }
  }

  /**
   * Returns whether the usage of an account should be known elsewhere soon.
   *
   * @param account the account
   * @param now milliseconds
   * @return whether it is near its limit, or much was taken here lately
   */
  public boolean urgent(AccountName account, long now) {
    QuotaBucket bucket = buckets.get(account);
    return bucket != null && bucket.urgent(entries());
  }

  /**
   * A connection to a relay was opened; usage is reported to it from now on.
   *
   * @param relay the relay
   */
  public void opened(R relay) {
    relays.put(relay, new Relay(new HashMap<>(own), new HashMap<>(elsewhere)));
  }

  /**
   * The connection to a relay was lost.
   *
   * @param relay the relay
   */
  public void closed(R relay) {
    relays.remove(relay);
  }

  /**
   * Returns what was not reported to a relay yet, and counts it as reported.
   *
   * @param relay a relay that is connected
   * @return units by account; empty when there is nothing new
   */
  public Map<String, Long> takeIncrements(R relay) {
    Relay to = relays.get(relay);
    Map<String, Long> increments = new HashMap<>();
    own.forEach(
        (account, total) -> {
          long unreported = total - to.reported.getOrDefault(account, 0L);
          if (unreported != 0) {
            increments.put(account.value(), unreported);
            to.reported.put(account, total);
          }
        });
    return increments;
  }

  /**
   * A relay has reported.
   *
   * @param relay the relay
   * @param increments units that other entries admitted, by account, since its last report
   * @param reachable entries that report to the relay
   * @param entries entries that are connected to it
   * @param now milliseconds
   */
  public void relayed(R relay, Map<String, Long> increments, int reachable, int entries, long now) {
    Relay from = relays.get(relay);
    if (from == null) {
      return;
    }
    from.reachable = reachable;
    from.reportedMillis = now;
    counts.counted(entries, now);
    Set<AccountName> changed = new HashSet<>();
    increments.forEach(
        (account, units) -> {
          AccountName name = new AccountName(account);
          from.received.merge(name, units, Long::sum);
          changed.add(name);
        });
    changed.forEach(account -> takenElsewhere(account, now));
    buckets.values().forEach(bucket -> confirmed(bucket, now));
  }

  private void confirmed(QuotaBucket bucket, long now) {
    refill(bucket, now);
    bucket.confirmed();
  }

  private void takenElsewhere(AccountName account, long now) {
    QuotaBucket bucket = buckets.get(account);
    if (bucket == null) {
      return;
    }
    long known = elsewhere.getOrDefault(account, 0L);
    long most =
        relays.values().stream().mapToLong(relay -> relay.total(account)).max().orElse(known);
    refill(bucket, now);
    bucket.takenElsewhere(most - known, now);
    elsewhere.put(account, most);
  }

  private void refill(QuotaBucket bucket, long now) {
    bucket.refill(reachable(now), entries(), now);
  }

  /**
   * Returns how many entries share the quotas.
   *
   * @return at least 1
   */
  public int entries() {
    return counts.most().orElse(settings.assumedEntries());
  }

  /**
   * Returns of how many entries the usage is known.
   *
   * @param now milliseconds
   * @return this entry included, so at least 1
   */
  public int reachable(long now) {
    long silent = settings.silentMillis(entries());
    int most = 1;
    for (Relay relay : relays.values()) {
      if (now - relay.reportedMillis <= silent) {
        most = Math.max(most, relay.reachable);
      }
    }
    return most;
  }

  /** What was sent to and received from one relay since its connection opened. */
  private static final class Relay {

    private final Map<AccountName, Long> reported;

    /** What was known of other entries when the connection opened. */
    private final Map<AccountName, Long> base;

    private final Map<AccountName, Long> received = new HashMap<>();
    private int reachable = 1;
    private long reportedMillis = Long.MIN_VALUE / 2;

    Relay(Map<AccountName, Long> reported, Map<AccountName, Long> base) {
      this.reported = reported;
      this.base = base;
    }

    void forget(AccountName account) {
      reported.remove(account);
      base.remove(account);
      received.remove(account);
    }

    long total(AccountName account) {
      return base.getOrDefault(account, 0L) + received.getOrDefault(account, 0L);
    }
  }
}

package org.hornbeamusher.quota;

import org.hornbeamusher.accounts.Quota;

/**
 * One entry's copy of the usage of a client account, at this entry and at the others.
 *
 * <p>Two limits apply. In any window, no more is admitted than the quota allows for its length.
 * Within that, a token bucket with the account's burst spreads the rest of the window evenly, so
 * that an account that requests many times its quota gets it at a steady rate.
 *
 * <p>The copies of an account that has exhausted its quota would all admit requests in the moment
 * in which units become available, and together far more than these, as each learns of the others'
 * usage some time later. So requests are then refused at random, the fewer units are available the
 * more of them (random early detection, Floyd and Jacobson 1993). The rate at which the entries
 * admit follows the refill rate, not the demand.
 *
 * <p>The level of the bucket decreases immediately by what this entry admits, and by what other
 * entries admit as soon as that is reported; it may become negative. An unreachable entry keeps its
 * even share of both limits.
 */
final class QuotaBucket {

  private static final double MILLIS_PER_SECOND = 1_000;

  /** Below this fraction of the burst, an account counts as near its limit. */
  private static final double NEAR_LIMIT_FRACTION = 0.5;

  /** Above this fraction of the units that may be charged unconfirmed, a report is urgent. */
  private static final double URGENT_UNCONFIRMED_FRACTION = 0.5;

  private final QuotaSettings settings;
  private final QuotaTolerance tolerance;
  private final WindowSum localUsage;
  private Quota quota;
  private double level;

  /** Units charged at this entry since the last update of the usage of other entries. */
  private long unconfirmedUnits;

  /** The level at that update, at least 0. */
  private double confirmedLevel;

  private long lastRefillMillis;

  /** Whether the account has exhausted its quota and has not recovered since. */
  private boolean exhausted;

  QuotaBucket(QuotaSettings settings, QuotaTolerance tolerance, Quota quota, long now) {
    this.settings = settings;
    this.tolerance = tolerance;
    this.localUsage = new WindowSum(tolerance.windowMillis());
    this.quota = quota;
    this.lastRefillMillis = now;
  }

  /** Returns whether nothing was charged at this entry in the window. */
  boolean isUnused(long now) {
    return localUsage.total(now) == 0;
  }

  void updateQuota(Quota next) {
    quota = next;
    level = Math.min(level, next.burst());
  }

  QuotaState state(WindowSum remoteUsage, KnownEntries known, long updateAgeMillis, long now) {
    return new QuotaState(
        localUsage.total(now),
        remoteUsage.total(now),
        Math.round(windowLimit(known)),
        Math.round(level),
        known.reachable(),
        known.entries(),
        updateAgeMillis,
        known.coverage());
  }

  /** Refills the bucket for the time since the last call. */
  void refill(KnownEntries known, long now) {
    double seconds = Math.max(0, now - lastRefillMillis) / MILLIS_PER_SECOND;
    lastRefillMillis = Math.max(now, lastRefillMillis);
    level =
        Math.min(level + refillRate(known) * seconds, quota.burst() * known.reachableFraction());
  }

  private double refillRate(KnownEntries known) {
    return windowLimit(known) * MILLIS_PER_SECOND / tolerance.windowMillis();
  }

  private double windowLimit(KnownEntries known) {
    return known.all() && known.windowKnown()
        ? tolerance.allowed(quota)
        : tolerance.withoutTolerance(quota) * known.reachableFraction();
  }

  /**
   * Returns whether a request may be admitted; one that costs more than the level makes it
   * negative.
   */
  boolean mayAdmit(WindowSum remoteUsage, KnownEntries known, double random, long now) {
    boolean unconfirmedLimitReached =
        unconfirmedUnits > 0 && unconfirmedUnits >= maxUnconfirmedUnits(known.entries());
    double left = windowLimit(known) - usedInWindow(remoteUsage, known, now);
    double available = Math.min(level, left);
    if (available <= 0) {
      exhausted = true;
    } else if (available >= burst(known)) {
      exhausted = false;
    }
    return available > random * reservedUnits(known)
        && (known.isAlone() || !unconfirmedLimitReached);
  }

  private double burst(KnownEntries known) {
    return quota.burst() * known.reachableFraction();
  }

  /** Units below which some requests are refused, so that entries do not use the same units. */
  private double reservedUnits(KnownEntries known) {
    return exhausted && !known.isAlone() ? burst(known) : 0;
  }

  /** An entry that reaches no other has its own share, whatever the others used before. */
  private long usedInWindow(WindowSum remoteUsage, KnownEntries known, long now) {
    return localUsage.total(now) + (known.isAlone() ? 0 : remoteUsage.total(now));
  }

  /** Returns whether the usage must be reported to the other entries soon. */
  boolean reportUrgent(int entries) {
    return level < NEAR_LIMIT_FRACTION * quota.burst()
        || unconfirmedUnits > URGENT_UNCONFIRMED_FRACTION * maxUnconfirmedUnits(entries);
  }

  /** Does not apply to an entry that reaches no other; its share of the burst limits it instead. */
  private double maxUnconfirmedUnits(int entries) {
    return settings.burstShareFactor() * confirmedLevel / entries;
  }

  void charge(long units, long now) {
    level -= units;
    unconfirmedUnits += units;
    localUsage.add(units, now, now);
  }

  void refund(long units, long chargedMillis, long now) {
    level = Math.min(level + units, quota.burst());
    // The charge may already be known to the others.
    unconfirmedUnits = Math.max(0, unconfirmedUnits - units);
    localUsage.add(-units, chargedMillis, now);
  }

  /** Dates a charge now; the level is not changed. */
  void renew(long units, long chargedMillis, long now) {
    localUsage.add(-units, chargedMillis, now);
    localUsage.add(units, now, now);
  }

  /** Records that the usage of the other entries is known up to now. */
  void remoteUsageUpdated() {
    unconfirmedUnits = 0;
    confirmedLevel = Math.max(0, level);
  }

  /** Charges units admitted by other entries to the level; negative units are a refund. */
  void chargeRemote(long units) {
    level = Math.min(level - units, quota.burst());
  }

  /** Returns after how long a request may be admitted again if nothing is charged until then. */
  long retryAfterMillis(WindowSum remoteUsage, KnownEntries known, long now) {
    double reserved = reservedUnits(known);
    double refillMillis = Math.max(0, reserved - level) / refillRate(known) * MILLIS_PER_SECOND;
    double limit = windowLimit(known) - reserved;
    long windowMillis =
        known.isAlone()
            ? localUsage.millisUntilBelow(limit, new WindowSum(tolerance.windowMillis()), now)
            : localUsage.millisUntilBelow(limit, remoteUsage, now);
    long reportMillis = level > 0 ? settings.intervalMillis(known.entries()) : 0;
    return 1 + Math.max(Math.round(refillMillis), Math.max(windowMillis, reportMillis));
  }
}

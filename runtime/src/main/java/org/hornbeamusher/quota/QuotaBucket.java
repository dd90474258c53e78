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
 * entries admit as soon as that is reported; it may become negative.
 *
 * <p>An entry that no longer knows what the others use, or whose usage some of them may not know,
 * keeps to its even share of what was left to all when it last knew: the quota of a window less
 * what all had used in it, of which more leaves the window as time passes. A share may be smaller
 * than a request. Entries then round it up or down, each by a random fraction that stays the same
 * until it knows the others again, so that their sum is the sum of the shares on average, however
 * often callers retry (stochastic rounding).
 *
 * <p>When endpoints end together, all that ran there is to be run again at once, at all entries,
 * after the quota has been used. A further run therefore needs units, too, of a limit above that of
 * admissions. Until the others know what it has charged, an entry charges no more of what is left
 * to that limit than its part of the usage, as it cannot have more to run again.
 */
final class QuotaBucket {

  private static final double MILLIS_PER_SECOND = 1_000;

  /** Below this fraction of the burst, an account counts as near its limit. */
  private static final double NEAR_LIMIT_FRACTION = 0.5;

  /** Above this fraction of the units that may be charged unconfirmed, a report is urgent. */
  private static final double URGENT_UNCONFIRMED_FRACTION = 0.5;

  /** An entry decides again before its charges have reached the others and theirs have arrived. */
  private static final int UPDATES_IN_FLIGHT = 2;

  private static final double UNDRAWN = -1;

  private final QuotaSettings settings;
  private final QuotaTolerance tolerance;
  private final WindowSum localUsage;
  private Quota quota;
  private double level;

  /** Units charged at this entry since the last update of the usage of other entries. */
  private long unconfirmedUnits;

  /** Units of further runs that the others may not know. */
  private long furtherUnits;

  /** When the last of them was charged. */
  private long furtherRunMillis;

  /** The level at that update, at least 0. */
  private double confirmedLevel;

  private long confirmedMillis;

  private long lastRefillMillis;

  /** Whether this entry kept to its own share at the last refill. */
  private boolean keptToShare;

  /** The fraction of a request that must be left of this entry's part of a limit to admit it. */
  private double rounding = UNDRAWN;

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

  /** Returns what a decision on a request is based on. */
  QuotaState state(WindowSum remoteUsage, KnownEntries known, long updateAgeMillis, long now) {
    return stateWith(windowLimit(known), remoteUsage, known, updateAgeMillis, now);
  }

  /** Returns what a decision on a further run is based on. */
  QuotaState furtherRunState(
      WindowSum remoteUsage, KnownEntries known, long updateAgeMillis, long now) {
    return stateWith(furtherRunLimit(known), remoteUsage, known, updateAgeMillis, now);
  }

  private QuotaState stateWith(
      double limit, WindowSum remoteUsage, KnownEntries known, long updateAgeMillis, long now) {
    return new QuotaState(
        localUsage.total(now),
        remoteUsage.total(now),
        Math.round(limit),
        Math.round(level),
        known.reachable(),
        known.entries(),
        updateAgeMillis,
        known.coverage(),
        known.windowKnown());
  }

  /** Refills the bucket for the time since the last call. */
  void refill(KnownEntries known, long now) {
    updateMode(known);
    double seconds = Math.max(0, now - lastRefillMillis) / MILLIS_PER_SECOND;
    lastRefillMillis = Math.max(now, lastRefillMillis);
    double capacity = keptToShare ? windowLimit(known) : burst(known);
    level = Math.min(level + refillRate(known) * seconds, capacity);
  }

  private void updateMode(KnownEntries known) {
    if (known.keepsToShare() && !keptToShare) {
      rounding = UNDRAWN;
      // What all have overdrawn is in the share, too.
      level = Math.max(0, level);
    }
    keptToShare = known.keepsToShare();
  }

  private double refillRate(KnownEntries known) {
    return windowLimit(known) * MILLIS_PER_SECOND / tolerance.windowMillis();
  }

  private double furtherRunLimit(KnownEntries known) {
    return known.all() && known.windowKnown()
        ? tolerance.allowedWithFurtherRuns(quota)
        : windowLimit(known);
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
  boolean mayAdmit(long cost, WindowSum remoteUsage, KnownEntries known, double random, long now) {
    if (known.keepsToShare()) {
      drawRounding(random);
      return Math.min(level, shareLeft(remoteUsage, known, now)) > rounding * cost;
    }
    boolean unconfirmedLimitReached =
        unconfirmedUnits > 0 && unconfirmedUnits >= unconfirmedLimit(known.entries(), now);
    double available = available(remoteUsage, known, now);
    return available > random * reservedUnits(known)
        && (known.isAlone() || !unconfirmedLimitReached);
  }

  /** Returns whether a request that may have run may run once more. */
  boolean mayRunAgain(
      long cost, WindowSum remoteUsage, KnownEntries known, double random, long now) {
    drawRounding(random);
    if (keptToShare) {
      return shareLeft(remoteUsage, known, now) > rounding * cost;
    }
    double local = localUsage.total(now);
    double total = local + remoteUsage.total(now);
    double left = furtherRunLimit(known) - total;
    double part = (local + cost) / (total + cost);
    return left * part / UPDATES_IN_FLIGHT - furtherUnits > rounding * cost;
  }

  private void drawRounding(double random) {
    if (rounding == UNDRAWN) {
      rounding = random;
    }
  }

  /** Returns the units that may be charged, and notes whether the account has exhausted them. */
  private double available(WindowSum remoteUsage, KnownEntries known, long now) {
    double left = windowLimit(known) - localUsage.total(now) - remoteUsage.total(now);
    double available = Math.min(level, left);
    if (available <= 0) {
      exhausted = true;
    } else if (available >= burst(known)) {
      exhausted = false;
    }
    return available;
  }

  /** Returns after how long a further run may be admitted if nothing is charged until then. */
  long furtherRunAfterMillis(long cost, WindowSum remoteUsage, KnownEntries known, long now) {
    return keptToShare
        ? shareRetryAfterMillis(rounding * cost, remoteUsage, known, now)
        : 1 + localUsage.millisUntilBelow(furtherRunLimit(known) - cost, remoteUsage, now);
  }

  private double burst(KnownEntries known) {
    return quota.burst() * known.reachableFraction();
  }

  /** Units below which some requests are refused, so that entries do not use the same units. */
  private double reservedUnits(KnownEntries known) {
    return exhausted && !known.isAlone() ? burst(known) : 0;
  }

  /** Returns what is left to this entry of its share of what was left to all. */
  private double shareLeft(WindowSum remoteUsage, KnownEntries known, long now) {
    long usedBefore =
        localUsage.totalBefore(known.sharedUntilMillis(), now)
            + remoteUsage.totalBefore(known.sharedUntilMillis(), now);
    double leftToAll = Math.max(0, tolerance.withoutTolerance(quota) - usedBefore);
    double unused =
        tolerance.withoutTolerance(quota) - localUsage.total(now) - remoteUsage.total(now);
    return Math.min(unused, leftToAll / known.entries() - usedSince(known, now));
  }

  /** Returns what was used here that others may not know. */
  private long usedSince(KnownEntries known, long now) {
    return localUsage.total(now) - localUsage.totalBefore(known.sharedUntilMillis(), now);
  }

  /** Returns whether the usage must be reported to the other entries soon. */
  boolean reportUrgent(int entries) {
    return level < NEAR_LIMIT_FRACTION * quota.burst()
        || unconfirmedUnits > URGENT_UNCONFIRMED_FRACTION * maxUnconfirmedUnits(entries);
  }

  /** While an update is overdue, more entries than usual may charge units at the same time. */
  private double unconfirmedLimit(int entries, long now) {
    return now - confirmedMillis > settings.intervalMillis(entries)
        ? confirmedLevel / entries
        : maxUnconfirmedUnits(entries);
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

  void chargeFurtherRun(long units, long now) {
    charge(units, now);
    furtherUnits += units;
    furtherRunMillis = now;
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
  void remoteUsageUpdated(WindowSum remoteUsage, KnownEntries known, long now) {
    unconfirmedUnits = 0;
    if (known.sharedUntilMillis() >= furtherRunMillis) {
      furtherUnits = 0;
    }
    if (!keptToShare) {
      rounding = UNDRAWN;
    }
    confirmedMillis = now;
    confirmedLevel = Math.max(0, level);
    if (!known.keepsToShare()) {
      // Callers may move to this entry after the account was exhausted at others.
      available(remoteUsage, known, now);
    }
  }

  /** Charges units admitted by other entries to the level; negative units are a refund. */
  void chargeRemote(long units) {
    level = Math.min(level - units, quota.burst());
  }

  /** Returns after how long a request may be admitted again if nothing is charged until then. */
  long retryAfterMillis(long cost, WindowSum remoteUsage, KnownEntries known, long now) {
    if (known.keepsToShare()) {
      return shareRetryAfterMillis(rounding * cost, remoteUsage, known, now);
    }
    double reserved = reservedUnits(known);
    double refillMillis = Math.max(0, reserved - level) / refillRate(known) * MILLIS_PER_SECOND;
    double limit = windowLimit(known) - reserved;
    long windowMillis = localUsage.millisUntilBelow(limit, remoteUsage, now);
    long reportMillis = level > 0 ? settings.intervalMillis(known.entries()) : 0;
    return 1 + Math.max(Math.round(refillMillis), Math.max(windowMillis, reportMillis));
  }

  private long shareRetryAfterMillis(
      double needed, WindowSum remoteUsage, KnownEntries known, long now) {
    double refillMillis = Math.max(0, needed - level) / refillRate(known) * MILLIS_PER_SECOND;
    double limit =
        tolerance.withoutTolerance(quota)
            - known.entries() * needed
            - (known.entries() - 1) * usedSince(known, now);
    long windowMillis = localUsage.millisUntilBelow(limit, remoteUsage, now);
    return 1 + Math.max(Math.round(refillMillis), windowMillis);
  }
}

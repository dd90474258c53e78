package org.hornbeamusher.quota;

import org.hornbeamusher.accounts.Quota;

/**
 * One entry's account of what a client account has used, here and at the other entries.
 *
 * <p>Two limits hold. Any window gets no more than the quota allows for its length. Within that, a
 * token bucket of the account's burst spreads what is left of the window evenly, so that an account
 * that asks for many times its quota gets it at a steady rate.
 *
 * <p>The level of the bucket falls by what this entry admits at once and by what other entries
 * admit when it is reported; it may become negative. An entry that cannot be reached keeps its even
 * share of both limits.
 */
final class QuotaBucket {

  private static final double MILLIS_PER_SECOND = 1_000;

  /** Below this part of the burst an account counts as near its limit. */
  private static final double NEAR_LIMIT = 0.5;

  /** Beyond this part of what may be taken unreported, a report is due soon. */
  private static final double REPORT_SOON = 0.5;

  private final QuotaSettings settings;
  private final QuotaTolerance tolerance;
  private final WindowSum here;
  private final WindowSum elsewhere;
  private Quota quota;
  private double level;

  /** What was taken here since the last update of what other entries use. */
  private long takenUnconfirmed;

  /** The level at that update. */
  private double confirmedLevel;

  private long refilledMillis;

  QuotaBucket(QuotaSettings settings, QuotaTolerance tolerance, Quota quota, long now) {
    this.settings = settings;
    this.tolerance = tolerance;
    this.here = new WindowSum(tolerance.windowMillis());
    this.elsewhere = new WindowSum(tolerance.windowMillis());
    this.quota = quota;
    this.refilledMillis = now;
  }

  void configured(Quota next) {
    quota = next;
    level = Math.min(level, next.burst());
  }

  double level() {
    return level;
  }

  /** Adds what has come back since the last call. */
  void refill(int reachable, int entries, long now) {
    double seconds = Math.max(0, now - refilledMillis) / MILLIS_PER_SECOND;
    refilledMillis = Math.max(now, refilledMillis);
    double known = (double) Math.min(reachable, entries) / entries;
    level = Math.min(level + rate(reachable, entries) * seconds, quota.burst() * known);
  }

  private double rate(int reachable, int entries) {
    return windowLimit(reachable, entries) * MILLIS_PER_SECOND / tolerance.windowMillis();
  }

  private double windowLimit(int reachable, int entries) {
    return reachable >= entries
        ? tolerance.allowed(quota)
        : tolerance.strict(quota) * reachable / entries;
  }

  /**
   * Returns whether a request may be admitted; one that is larger than what is left leaves a debt.
   */
  boolean open(int reachable, int entries, long now) {
    boolean ahead = takenUnconfirmed > 0 && takenUnconfirmed >= allowedUnconfirmed(entries);
    return level > 0
        && (reachable <= 1 || !ahead)
        && used(reachable, now) < windowLimit(reachable, entries);
  }

  /** An entry that reaches nobody has its own share, whatever the others used before. */
  private long used(int reachable, long now) {
    return here.total(now) + (reachable <= 1 ? 0 : elsewhere.total(now));
  }

  /** Returns whether the usage should be known elsewhere soon. */
  boolean urgent(int entries) {
    return level < NEAR_LIMIT * quota.burst()
        || takenUnconfirmed > REPORT_SOON * allowedUnconfirmed(entries);
  }

  /** An entry that reaches nobody is bounded by its share of the burst instead. */
  private double allowedUnconfirmed(int entries) {
    return settings.shareFactor() * confirmedLevel / entries;
  }

  void take(long units, long now) {
    level -= units;
    takenUnconfirmed += units;
    here.add(units, now);
  }

  void giveBack(long units, long takenMillis, long now) {
    level = Math.min(level + units, quota.burst());
    takenUnconfirmed -= units;
    here.takeOff(units, takenMillis, now);
  }

  /** The usage of other entries is known up to now. */
  void confirmed() {
    takenUnconfirmed = 0;
    confirmedLevel = Math.max(0, level);
  }

  /** Takes what other entries have admitted, or gives back what did not run there. */
  void takenElsewhere(long units, long now) {
    level = Math.min(level - units, quota.burst());
    elsewhere.add(units, now);
  }

  /** Returns when it is open again if nobody takes anything meanwhile. */
  long openAfterMillis(int reachable, int entries, long now) {
    double refilled = Math.max(0, -level) / rate(reachable, entries) * MILLIS_PER_SECOND;
    double limit = windowLimit(reachable, entries);
    long window =
        reachable <= 1
            ? here.millisUntilBelow(limit, now)
            : here.millisUntilBelow(limit, elsewhere, now);
    long confirmed = level > 0 ? settings.intervalMillis(entries) : 0;
    return 1 + Math.max(Math.round(refilled), Math.max(window, confirmed));
  }
}

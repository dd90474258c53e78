package org.hornbeamusher.quota;

/**
 * How much an entry knows of the usage of the others.
 *
 * @param reachable number of entries whose usage is known, including this one
 * @param entries number of entries that share the quota
 * @param windowKnown whether the usage of the whole window is known, also that of entries that have
 *     ended in it
 * @param hidden whether an entry whose usage is known may not know the usage of this one
 * @param sharedUntilMillis up to when all entries knew the usage of this one; what it has used
 *     since then, others may not know
 */
record KnownEntries(
    int reachable, int entries, boolean windowKnown, boolean hidden, long sharedUntilMillis) {

  /** Returns whether this entry knows no other, or is the only one. */
  boolean isAlone() {
    return reachable <= 1;
  }

  /** Returns whether this entry is limited to its own share of what was left to all. */
  boolean keepsToShare() {
    return coverage() == UsageCoverage.ISOLATED || coverage() == UsageCoverage.HIDDEN;
  }

  /** Returns whether the usage of every entry is known. */
  boolean all() {
    return reachable >= entries;
  }

  UsageCoverage coverage() {
    if (hidden) {
      return UsageCoverage.HIDDEN;
    }
    if (all()) {
      return UsageCoverage.COMPLETE;
    }
    return isAlone() ? UsageCoverage.ISOLATED : UsageCoverage.PARTIAL;
  }

  double reachableFraction() {
    return (double) Math.min(reachable, entries) / entries;
  }
}

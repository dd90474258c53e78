package org.hornbeamusher.quota;

/**
 * How much an entry knows of the usage of the others.
 *
 * @param reachable number of entries whose usage is known, including this one
 * @param entries number of entries that share the quota
 * @param windowKnown whether the usage of the whole window is known, also that of entries that have
 *     ended in it
 */
record KnownEntries(int reachable, int entries, boolean windowKnown) {

  /** Returns whether this entry knows no other, so that its own share limits it. */
  boolean isAlone() {
    return reachable <= 1;
  }

  /** Returns whether the usage of every entry is known. */
  boolean all() {
    return reachable >= entries;
  }

  UsageCoverage coverage() {
    if (all()) {
      return UsageCoverage.COMPLETE;
    }
    return isAlone() ? UsageCoverage.ISOLATED : UsageCoverage.PARTIAL;
  }

  double reachableFraction() {
    return (double) Math.min(reachable, entries) / entries;
  }
}

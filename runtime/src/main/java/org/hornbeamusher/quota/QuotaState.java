package org.hornbeamusher.quota;

/**
 * What an entry knew of the usage of a client account when it decided on a request.
 *
 * @param localUnits units charged at this entry in the window
 * @param remoteUnits units charged at the other entries in the window, as far as known
 * @param limitUnits units that may be charged in the window by the entries that reach each other,
 *     for requests or, if the decision is on one, for further runs
 * @param level units that are left in the bucket; negative if more was charged than it held
 * @param reachable number of entries whose usage is known, including this one
 * @param entries number of entries that share the quota
 * @param updateAgeMillis age of the last update of the usage of the others; -1 before the first
 * @param coverage of how many entries the usage is known
 * @param windowKnown whether a relay has added up usage for a whole window
 */
public record QuotaState(
    long localUnits,
    long remoteUnits,
    long limitUnits,
    long level,
    int reachable,
    int entries,
    long updateAgeMillis,
    UsageCoverage coverage,
    boolean windowKnown) {

  private static final double NEAR_LIMIT_FRACTION = 0.5;

  /**
   * Returns whether the account has used much of what its quota allows.
   *
   * @return whether the known usage in the window is above half of the limit
   */
  public boolean isNearLimit() {
    return localUnits + remoteUnits > NEAR_LIMIT_FRACTION * limitUnits;
  }
}

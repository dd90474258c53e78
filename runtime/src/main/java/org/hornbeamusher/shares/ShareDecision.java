package org.hornbeamusher.shares;

/**
 * Where a request stands in the fair share of its client account, with what decided it.
 *
 * @param standing whether it is within the share
 * @param demand what the account asks for, in milliseconds of runs a second
 * @param fair its fair share; infinite while the capacity covers the demand of all
 * @param capacity what the service has begun to run for all accounts
 * @param usageAgeMillis time since a relay reported the usage of other entries; -1 if none has
 */
public record ShareDecision(
    Standing standing, double demand, double fair, double capacity, long usageAgeMillis) {

  /** The decision where capacity is not shared between accounts. */
  public static final ShareDecision UNSHARED =
      new ShareDecision(Standing.BELOW, 0, Double.POSITIVE_INFINITY, 0, -1);

  /** Where a request stands. */
  public enum Standing {
    /** Its account asks for no more than its share. */
    BELOW("below", 0),
    /** Its account asks for more than its share; this request is within it. */
    WITHIN("within", 1),
    /** Its account asks for more than its share; this request is beyond it. */
    BEYOND("beyond", 5);

    private final String label;
    private final int ranksBehind;

    Standing(String label, int ranksBehind) {
      this.label = label;
      this.ranksBehind = ranksBehind;
    }

    /**
     * Returns the name in logs.
     *
     * @return lower case
     */
    public String label() {
      return label;
    }
  }

  /**
   * Returns whether the request is beyond the share.
   *
   * @return whether it gives way to all that are not
   */
  public boolean beyond() {
    return standing == Standing.BEYOND;
  }

  /**
   * Returns the priority with which the request is served. An account that asks for more than its
   * share gives way to the others by a rank even within it: otherwise they would wait as long as
   * its requests, which come as fast as they are served.
   *
   * @param rank the priority of its kind; 0 is the most urgent
   * @return the same if its account is below its share, else less urgent
   */
  public int effectiveRank(int rank) {
    return rank + standing.ranksBehind;
  }
}

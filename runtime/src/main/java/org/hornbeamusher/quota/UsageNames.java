package org.hornbeamusher.quota;

/**
 * Tells apart what is counted in the usage that entries exchange: the quotas of client accounts,
 * under the names of the accounts, and the shares of capacity.
 */
public final class UsageNames {

  /** Begins the name of a share; an account's name is the value of a header and cannot begin so. */
  public static final String SHARE_PREFIX = "\t";

  /** For how long a relay keeps the usage of shares: twice the time constant of their rates. */
  public static final long SHARE_WINDOW_MILLIS = 2_000;

  private UsageNames() {}

  /**
   * Returns whether a name stands for a share of capacity.
   *
   * @param name a name in a report of usage
   * @return false for the quota of a client account
   */
  public static boolean isShare(String name) {
    return name.startsWith(SHARE_PREFIX);
  }
}

package org.hornbeamusher.quota;

/**
 * Tells apart what is counted in the usage that entries exchange: the quotas of client accounts,
 * under the names of the accounts, and the shares of capacity. A relay adds up either without
 * knowing the difference, also one of an older release.
 */
public final class UsageNames {

  /** Begins the name of a share; an account's name is the value of a header and cannot begin so. */
  public static final String SHARE_PREFIX = "\t";

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

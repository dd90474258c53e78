package org.hornbeamusher.accounts;

import java.util.OptionalLong;

/**
 * The limit of a client account's usage over all entries together: a token bucket.
 *
 * @param unit the unit in which usage is counted
 * @param ratePerSecond units refilled per second; 0 for no limit
 * @param burst size of the bucket: units that may be used at once in addition to the rate
 * @param defaultTokens tokens that are charged for a request that states no token counts
 */
public record Quota(QuotaUnit unit, long ratePerSecond, long burst, long defaultTokens) {

  /** No limit. */
  public static final Quota UNLIMITED = new Quota(QuotaUnit.REQUESTS, 0, 0, 0);

  /**
   * Returns whether there is a limit.
   *
   * @return false if the rate is 0
   */
  public boolean limited() {
    return ratePerSecond > 0;
  }

  /**
   * Returns the cost of a request.
   *
   * @param tokens prompt and output tokens together; empty if the request states no token counts
   * @return units of this quota
   */
  public long cost(OptionalLong tokens) {
    return switch (unit) {
      case REQUESTS -> 1;
      case TOKENS -> tokens.orElse(defaultTokens);
    };
  }
}

package org.hornbeamusher.accounts;

import java.util.OptionalLong;

/**
 * How much a client account may ask of all entries together: a token bucket.
 *
 * @param unit what is counted
 * @param ratePerSecond units that come back each second; 0 for no limit
 * @param burst units on top of the rate at any moment
 * @param plainTokens tokens that a request counts as when it states no size
 */
public record Quota(QuotaUnit unit, long ratePerSecond, long burst, long plainTokens) {

  /** Limits nothing. */
  public static final Quota UNLIMITED = new Quota(QuotaUnit.REQUESTS, 0, 0, 0);

  /**
   * Returns whether there is a limit at all.
   *
   * @return false when the rate is 0
   */
  public boolean limited() {
    return ratePerSecond > 0;
  }

  /**
   * Returns what a request counts as.
   *
   * @param tokens prompt and output tokens together; empty when the request states no size
   * @return units of this quota
   */
  public long cost(OptionalLong tokens) {
    return switch (unit) {
      case REQUESTS -> 1;
      case TOKENS -> tokens.orElse(plainTokens);
    };
  }
}

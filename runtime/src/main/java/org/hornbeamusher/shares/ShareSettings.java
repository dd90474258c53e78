package org.hornbeamusher.shares;

/**
 * How capacity is shared.
 *
 * @param windowMillis time constant of the demand and the capacity: how soon idle capacity is lent
 *     and given back
 * @param tolerance fraction by which the demand may exceed the capacity before accounts share it
 * @param headroom fraction of the capacity that is not allocated, so that requests within their
 *     shares wait only for each other; requests beyond use it
 * @param minimumRequests requests within the time constant below which no share falls: fewer show
 *     nothing about the demand of an account
 * @param guaranteedFraction fraction of its proportional part of the account's share that the least
 *     urgent kind of request gets however much more urgent ones the account sends
 * @param levelAgeMillis how long a computed fair level is used
 * @param maxShares limit on the shares of a service that are counted; requests of further ones are
 *     within theirs
 */
public record ShareSettings(
    double windowMillis,
    double tolerance,
    double headroom,
    int minimumRequests,
    double guaranteedFraction,
    long levelAgeMillis,
    int maxShares) {

  private static final double MILLIS_PER_SECOND = 1_000;

  /** The settings of entries. */
  public static final ShareSettings DEFAULT =
      new ShareSettings(1_000, 0.1, 0.1, 2, 0.25, 20, 1_024);

  /** Returns the demand for each second below which an account is within its share. */
  double minimumDemand(long costMillis) {
    return minimumRequests * costMillis * MILLIS_PER_SECOND / windowMillis;
  }
}

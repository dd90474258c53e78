package org.hornbeamusher.quota;

/** Whether a request is within its account's quota. */
public sealed interface QuotaDecision {

  /**
   * The request is within the quota, and its cost is charged.
   *
   * @param charge the charge, to be refunded if the request does not run
   */
  record Admitted(QuotaCharge charge) implements QuotaDecision {}

  /**
   * The request exceeds the quota, and nothing is charged.
   *
   * @param retryAfterMillis time until the quota allows a request again if no other is admitted
   * @param level units that are left; negative if more was charged than the quota allows
   * @param reachable number of entries whose usage is known, including this one
   * @param entries number of entries that share the quota
   */
  record Exceeded(long retryAfterMillis, long level, int reachable, int entries)
      implements QuotaDecision {}
}

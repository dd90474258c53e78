package org.hornbeamusher.quota;

/** Whether a request is within its account's quota. */
public sealed interface QuotaDecision {

  /**
   * It is; its cost is charged.
   *
   * @param charge to be given back if the request does not run
   */
  record Admitted(QuotaCharge charge) implements QuotaDecision {}

  /**
   * It is not, and nothing is charged.
   *
   * @param retryAfterMillis until the quota allows a request again, if nobody else asks meanwhile
   * @param level units that are left; negative for a debt
   * @param reachable entries whose usage is known, this one included
   * @param entries entries that share the quota
   */
  record Exceeded(long retryAfterMillis, long level, int reachable, int entries)
      implements QuotaDecision {}
}

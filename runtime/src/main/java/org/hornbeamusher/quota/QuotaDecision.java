package org.hornbeamusher.quota;

/** Whether a request is within its account's quota. */
public sealed interface QuotaDecision {

  /**
   * Returns what the decision was based on.
   *
   * @return the known usage of the account, before the request is charged
   */
  QuotaState state();

  /**
   * The request is within the quota, and its cost is charged.
   *
   * @param charge the charge, to be refunded if the request does not run
   * @param state what the decision was based on
   */
  record Admitted(QuotaCharge charge, QuotaState state) implements QuotaDecision {}

  /**
   * The request exceeds the quota, and nothing is charged.
   *
   * @param retryAfterMillis time until the quota allows a request again if no other is admitted
   * @param state what the decision was based on
   */
  record Exceeded(long retryAfterMillis, QuotaState state) implements QuotaDecision {}
}

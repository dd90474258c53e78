package org.hornbeamusher.accounts;

/** The unit in which a quota counts usage. */
public enum QuotaUnit {
  /** Each request counts as one. */
  REQUESTS,
  /** A request counts as the sum of its prompt tokens and its maximum output tokens. */
  TOKENS
}

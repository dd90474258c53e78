package org.hornbeamusher.accounts;

/** What a quota counts. */
public enum QuotaUnit {
  /** Each request counts as one. */
  REQUESTS,
  /** A request counts as its prompt tokens and its most output tokens together. */
  TOKENS
}

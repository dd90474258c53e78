package org.hornbeamusher.routes;

/** What may be repeated, and in which form the answer comes. */
public enum RequestKind {
  /** May run more than once; the answer is passed on whole. */
  IDEMPOTENT,
  /** Runs at most once for each request; the answer is passed on whole. */
  NON_IDEMPOTENT,
  /** A series of numbered events, passed on as they arrive; runs at most once unless resumable. */
  STREAMING
}

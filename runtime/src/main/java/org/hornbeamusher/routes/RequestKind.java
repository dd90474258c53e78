package org.hornbeamusher.routes;

/** Determines whether a request may be retried, and the form of its response. */
public enum RequestKind {
  /** May run more than once; the response is forwarded once it is complete. */
  IDEMPOTENT,
  /** Runs at most once for each request; the response is forwarded once it is complete. */
  NON_IDEMPOTENT,
  /** A stream of numbered events, forwarded as they arrive; runs at most once unless resumable. */
  STREAMING
}

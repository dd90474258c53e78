package org.hornbeamusher.placement;

/**
 * Whether an endpoint has lately sent a response that may belong to another request of its
 * connection, because it names another request or none.
 */
final class SurplusResponses {

  /** How long a connection to the endpoint may still deliver such a response. */
  private static final long RETENTION_MILLIS = 30_000;

  private static final long NEVER = Long.MIN_VALUE / 2;

  private long lastMillis = NEVER;

  void record(long now) {
    lastMillis = now;
  }

  boolean recent(long now) {
    return now - lastMillis < RETENTION_MILLIS;
  }
}

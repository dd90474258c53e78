package org.hornbeamusher.placement;

/** Whether an endpoint has lately sent a response that does not name the request it answers. */
final class UnnamedResponses {

  /** Longer than the pause between two phases in which an endpoint refuses requests. */
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

package org.hornbeamusher.http;

import java.util.concurrent.atomic.AtomicLong;
import org.hornbeamusher.clock.MonotonicClock;

/** What the pool knows of an open connection. */
final class OpenConnection {

  private static final AtomicLong LAST_NUMBER = new AtomicLong();

  private final long number = LAST_NUMBER.incrementAndGet();
  private final ResponseByteLimit limit;
  private final InterimResponseFilter filter;
  private final long openedMillis = MonotonicClock.INSTANCE.millis();
  private int requests;

  OpenConnection(ResponseByteLimit limit, InterimResponseFilter filter) {
    this.limit = limit;
    this.filter = filter;
  }

  /** Returns the limit on its bytes that become no response. */
  ResponseByteLimit limit() {
    return limit;
  }

  /** Counts a request that is sent next; called on the connection's I/O thread. */
  ConnectionUse requestSent() {
    filter.awaitResponse();
    return new ConnectionUse(number, requests++, MonotonicClock.INSTANCE.millis() - openedMillis);
  }
}

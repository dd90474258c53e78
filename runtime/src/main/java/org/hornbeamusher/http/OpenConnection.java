package org.hornbeamusher.http;

import java.util.Optional;
import java.util.concurrent.atomic.AtomicLong;
import org.hornbeamusher.clock.MonotonicClock;

/** What the pool knows of an open connection. */
final class OpenConnection {

  private static final AtomicLong LAST_NUMBER = new AtomicLong();

  private final long number = LAST_NUMBER.incrementAndGet();
  private final ResponseByteLimit limit;
  private final InterimResponseFilter filter;
  private final long openedMillis = MonotonicClock.INSTANCE.millis();
  private final CarriedRequests carried = new CarriedRequests();
  private int requests;

  OpenConnection(ResponseByteLimit limit, InterimResponseFilter filter) {
    this.limit = limit;
    this.filter = filter;
  }

  /** Returns the limit on its bytes that become no response. */
  ResponseByteLimit limit() {
    return limit;
  }

  /** Returns whether it may carry this request; called while the connection is idle. */
  boolean mayCarry(Optional<EchoedId> id) {
    return id.isEmpty() || !carried.contains(id.get().value());
  }

  /** Returns whether it may carry another request. */
  boolean mayBeReused() {
    return !carried.isFull();
  }

  /** Counts a request that is sent next; called on the connection's I/O thread. */
  ConnectionUse requestSent(Optional<EchoedId> id) {
    filter.awaitResponse();
    id.ifPresent(sent -> carried.add(sent.value()));
    return new ConnectionUse(number, requests++, MonotonicClock.INSTANCE.millis() - openedMillis);
  }
}

package org.hornbeamusher.http;

import java.util.Optional;
import java.util.concurrent.atomic.AtomicLong;
import org.hornbeamusher.clock.MonotonicClock;

/** What the pool knows of an open connection. */
final class OpenConnection {

  private static final AtomicLong LAST_NUMBER = new AtomicLong();

  private final long number = LAST_NUMBER.incrementAndGet();
  private final ResponseByteLimit limit;
  private final InterimResponseFilter interim;
  private final EarlierResponseFilter earlier;
  private final HeaderCountLimit headers;
  private final long openedMillis = MonotonicClock.INSTANCE.millis();
  private final CarriedRequests carried;
  private int requests;

  OpenConnection(
      ResponseByteLimit limit,
      InterimResponseFilter interim,
      EarlierResponseFilter earlier,
      HeaderCountLimit headers,
      CarriedRequests carried) {
    this.limit = limit;
    this.interim = interim;
    this.earlier = earlier;
    this.headers = headers;
    this.carried = carried;
  }

  /** Returns the limit on its bytes that become no response. */
  ResponseByteLimit limit() {
    return limit;
  }

  /** Returns whether it failed because a response exceeded a limit. */
  boolean hasExceededLimit() {
    return limit.isExceeded() || headers.isExceeded();
  }

  /** Returns whether it failed because what followed the copy of a response is no response. */
  boolean isOutOfStep() {
    return earlier.isOutOfStep();
  }

  /** Returns whether it may carry this request; called while the connection is idle. */
  boolean mayCarry(Optional<EchoedId> id) {
    return id.isEmpty() || !carried.contains(id.get().value());
  }

  /** Returns whether it may carry another request. */
  boolean mayBeReused() {
    return !carried.isFull() && !earlier.holdsBytes();
  }

  /** Returns how many copies of earlier responses arrived since the last request was sent. */
  int skippedResponses() {
    return earlier.skipped();
  }

  /** Counts a request that is sent next; called on the connection's I/O thread. */
  ConnectionUse requestSent(Optional<EchoedId> id) {
    limit.awaitResponse();
    interim.awaitResponse();
    headers.awaitResponse();
    earlier.awaitResponse(id, requests == 0);
    id.ifPresent(sent -> carried.add(sent.value()));
    return new ConnectionUse(number, requests++, MonotonicClock.INSTANCE.millis() - openedMillis);
  }
}

package org.hornbeamusher.http;

import java.util.Optional;
import java.util.concurrent.atomic.AtomicLong;
import org.hornbeamusher.clock.MonotonicClock;

/** What the pool knows of an open connection. */
final class OpenConnection {

  private static final AtomicLong LAST_NUMBER = new AtomicLong();

  private final long number = LAST_NUMBER.incrementAndGet();
  private final ResponseByteLimit limit;
  private final ResponseReader reader;
  private final long openedMillis = MonotonicClock.INSTANCE.millis();
  private final CarriedRequests carried;
  private int requests;

  OpenConnection(ResponseByteLimit limit, ResponseReader reader, CarriedRequests carried) {
    this.limit = limit;
    this.reader = reader;
    this.carried = carried;
  }

  /** Returns the limit on its bytes that become no response. */
  ResponseByteLimit limit() {
    return limit;
  }

  /** Returns whether it failed because a response exceeded a limit. */
  boolean hasExceededLimit() {
    return limit.isExceeded() || reader.hasTooManyLines();
  }

  /** Returns whether it failed because what followed the copy of a response is no response. */
  boolean isOutOfStep() {
    return reader.isOutOfStep();
  }

  /** Returns why it failed, if a response was malformed. */
  Optional<ResponseFault> fault() {
    return reader.fault();
  }

  /** Returns whether nothing but the end of the connection ends the response. */
  boolean responseEndsWithConnection() {
    return reader.endsWithConnection();
  }

  /** Returns whether it may carry this request; called while the connection is idle. */
  boolean mayCarry(Optional<EchoedId> id) {
    return id.isEmpty() || !carried.contains(id.get().value());
  }

  /** Returns whether it may carry another request. */
  boolean mayBeReused() {
    return !carried.isFull() && !reader.hasSurplus();
  }

  /** Returns how many copies of earlier responses arrived since the last request was sent. */
  int skippedResponses() {
    return reader.copies();
  }

  /** Counts a request that is sent next; called on the connection's I/O thread. */
  ConnectionUse requestSent(String method, Optional<EchoedId> id) {
    limit.awaitResponse();
    reader.awaitResponse(method, id, requests == 0);
    id.ifPresent(sent -> carried.add(sent.value()));
    return new ConnectionUse(number, requests++, MonotonicClock.INSTANCE.millis() - openedMillis);
  }
}

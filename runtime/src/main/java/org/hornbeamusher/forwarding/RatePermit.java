package org.hornbeamusher.forwarding;

import java.net.InetSocketAddress;
import org.hornbeamusher.loop.EventLoop;
import org.hornbeamusher.placement.EndpointView;

/** One request's wait for a permit to be sent to an endpoint that limits its rate. */
final class RatePermit {

  /** Stands for no wait. */
  static final RatePermit NONE = new RatePermit(null, "", 0, null);

  private final EndpointView endpoint;
  private final String requestId;
  private final long mostWaitMillis;
  private final Listener listener;

  /** Whom it was asked of; null while it waits for its time. */
  private InetSocketAddress agent;

  private EventLoop.Timer timer = () -> {};
  private boolean over;

  RatePermit(EndpointView endpoint, String requestId, long mostWaitMillis, Listener listener) {
    this.endpoint = endpoint;
    this.requestId = requestId;
    this.mostWaitMillis = mostWaitMillis;
    this.listener = listener;
  }

  EndpointView endpoint() {
    return endpoint;
  }

  String requestId() {
    return requestId;
  }

  long mostWaitMillis() {
    return mostWaitMillis;
  }

  /** It was asked of an agent; the timer ends the wait for the reply. */
  void asked(InetSocketAddress of, EventLoop.Timer timeout) {
    agent = of;
    timer = timeout;
  }

  boolean askedOf(InetSocketAddress other) {
    return other.equals(agent);
  }

  /** It was granted; the timer ends the wait for its time. */
  void granted(EventLoop.Timer due) {
    timer.cancel();
    agent = null;
    timer = due;
  }

  /** The request is not sent there; the listener is not called any more. */
  void cancel() {
    over = true;
    timer.cancel();
  }

  void permit() {
    if (!over) {
      cancel();
      listener.permitted();
    }
  }

  void refuse() {
    if (!over) {
      cancel();
      listener.limited();
    }
  }

  boolean over() {
    return over;
  }

  /** Receives the decision. */
  interface Listener {

    /** The request may be sent now. */
    void permitted();

    /** The request may not be sent within the time that it can wait. */
    void limited();
  }
}

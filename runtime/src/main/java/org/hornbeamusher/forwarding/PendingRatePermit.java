package org.hornbeamusher.forwarding;

import java.net.InetSocketAddress;
import java.util.Optional;
import org.hornbeamusher.loop.EventLoop;
import org.hornbeamusher.placement.EndpointView;

/** A request's pending permit for a rate-limited endpoint. */
final class PendingRatePermit {

  /** Stands for no pending permit. */
  static final PendingRatePermit NONE = new PendingRatePermit(null, "", 0, null);

  private final EndpointView endpoint;
  private final String requestId;
  private final long deadlineMillis;
  private final Listener listener;

  /** The agent that decides or has granted the permit; empty if this entry decides. */
  private Optional<InetSocketAddress> agent = Optional.empty();

  private EventLoop.Timer timer = () -> {};
  private boolean done;

  PendingRatePermit(
      EndpointView endpoint, String requestId, long deadlineMillis, Listener listener) {
    this.endpoint = endpoint;
    this.requestId = requestId;
    this.deadlineMillis = deadlineMillis;
    this.listener = listener;
  }

  EndpointView endpoint() {
    return endpoint;
  }

  String requestId() {
    return requestId;
  }

  /** Returns how long the request can still wait. */
  long waitLeftMillis(long now) {
    return Math.max(0, deadlineMillis - now);
  }

  Optional<InetSocketAddress> agent() {
    return agent;
  }

  /** Records the request to an agent; the timer limits the wait for its response. */
  void requestedFrom(InetSocketAddress pacer, EventLoop.Timer timeout) {
    agent = Optional.of(pacer);
    timer = timeout;
  }

  boolean isRequestedFrom(InetSocketAddress pacer) {
    return agent.filter(pacer::equals).isPresent();
  }

  /** Records that its agent does not decide on it any more. */
  void withdrawn() {
    timer.cancel();
    agent = Optional.empty();
  }

  /** Records that the permit was granted; the timer fires when it becomes valid. */
  void grantedLater(EventLoop.Timer due) {
    timer.cancel();
    timer = due;
  }

  /** Cancels the wait; the listener is not called any more. */
  void cancel() {
    done = true;
    timer.cancel();
  }

  void permit() {
    if (!done) {
      cancel();
      listener.permitGranted();
    }
  }

  void refuse() {
    if (!done) {
      cancel();
      listener.permitRefused();
    }
  }

  boolean isDone() {
    return done;
  }

  /** Receives the decision. */
  interface Listener {

    /** The request may be sent now. */
    void permitGranted();

    /** The request may not be sent within the time that it can wait. */
    void permitRefused();
  }
}

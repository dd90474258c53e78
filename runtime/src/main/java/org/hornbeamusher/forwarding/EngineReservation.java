package org.hornbeamusher.forwarding;

import org.hornbeamusher.clock.Clock;
import org.hornbeamusher.directory.AdapterVersion;
import org.hornbeamusher.wire.Message;

/** A request's reservation for its adapter at an engine, held by the engine's agent. */
final class EngineReservation {

  /** Stands for a reservation where no agent is connected; has no effect. */
  static final EngineReservation NONE = new EngineReservation();

  private final AgentConnections.AgentConnection link;
  private final long number;
  private final Request request;
  private final Listener listener;
  private final Clock clock;
  private boolean waiting;
  private boolean promptProcessed;

  EngineReservation(
      AgentConnections.AgentConnection link,
      long number,
      Request request,
      Listener listener,
      Clock clock) {
    this.link = link;
    this.number = number;
    this.request = request;
    this.listener = listener;
    this.clock = clock;
    this.waiting = true;
  }

  private EngineReservation() {
    this(null, 0, null, null, null);
  }

  long number() {
    return number;
  }

  /** Sends the reservation to the agent, initially and after each reconnect. */
  void announce() {
    link.send(
        new Message.Reserve(
            number,
            request.requestId(),
            request.adapter().key().toString(),
            request.adapter().version(),
            request.rank(),
            promptProcessed ? 0 : request.unreadTokens(),
            Math.max(0, request.expiresMillis() - clock.millis()),
            request.aimMillis() - clock.millis()));
  }

  void granted() {
    if (waiting) {
      waiting = false;
      listener.reservationGranted();
    }
  }

  void lost() {
    if (waiting) {
      listener.reservationLost();
    }
  }

  /** Called when the request is sent; the listener is not called any more. */
  void requestSent() {
    waiting = false;
  }

  void promptProcessed() {
    if (link != null && !promptProcessed) {
      promptProcessed = true;
      link.send(new Message.PromptProcessed(number));
    }
  }

  void release() {
    if (link != null) {
      waiting = false;
      link.forget(number);
      link.send(new Message.ReservationRelease(number));
    }
  }

  /** The parameters of a reservation. */
  record Request(
      String requestId,
      AdapterVersion adapter,
      int rank,
      long unreadTokens,
      long expiresMillis,
      long aimMillis) {}

  /** Receives the outcome of a pending reservation. */
  interface Listener {

    /** Called when the adapter can be used. */
    void reservationGranted();

    /** Called when the connection to the agent is lost. */
    void reservationLost();
  }
}

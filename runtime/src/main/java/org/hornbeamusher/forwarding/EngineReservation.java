package org.hornbeamusher.forwarding;

import org.hornbeamusher.clock.Clock;
import org.hornbeamusher.directory.HeldAdapter;
import org.hornbeamusher.wire.Message;

/** One request's place at an engine, as its agent knows it. */
final class EngineReservation {

  /** Stands for a reservation where no agent is connected; nothing hears of it. */
  static final EngineReservation NONE = new EngineReservation();

  private final EngineAgents.Link link;
  private final long number;
  private final Request request;
  private final Listener listener;
  private final Clock clock;
  private boolean waiting;
  private boolean promptRead;

  EngineReservation(
      EngineAgents.Link link, long number, Request request, Listener listener, Clock clock) {
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

  /** Tells the agent, at first and after its connection was lost. */
  void announce() {
    link.send(
        new Message.Reserve(
            number,
            request.requestId(),
            request.adapter().key().toString(),
            request.adapter().version(),
            request.rank(),
            promptRead ? 0 : request.unreadTokens(),
            Math.max(0, request.expiresMillis() - clock.millis()),
            request.aimMillis() - clock.millis()));
  }

  void granted() {
    if (waiting) {
      waiting = false;
      listener.granted();
    }
  }

  void lost() {
    if (waiting) {
      listener.lost();
    }
  }

  /** The request runs; neither a grant nor the loss of the agent means anything to it any more. */
  void used() {
    waiting = false;
  }

  void promptRead() {
    if (link != null && !promptRead) {
      promptRead = true;
      link.send(new Message.PromptRead(number));
    }
  }

  void release() {
    if (link != null) {
      waiting = false;
      link.forget(number);
      link.send(new Message.Release(number));
    }
  }

  /** What the agent is told. */
  record Request(
      String requestId,
      HeldAdapter adapter,
      int rank,
      long unreadTokens,
      long expiresMillis,
      long aimMillis) {}

  /** Hears of a reservation that waits. */
  interface Listener {

    /** The adapter can be used. */
    void granted();

    /** The agent's connection is lost. */
    void lost();
  }
}

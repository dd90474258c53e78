package org.hornbeamusher.wire;

import java.util.function.Supplier;
import org.hornbeamusher.failure.FailureType;
import org.hornbeamusher.failure.HornbeamusherException;
import org.hornbeamusher.failure.Outcome;

/**
 * The protocol state of one connection: requires a hello of a compatible protocol version as the
 * first message, reports heartbeats separately and ignores messages of unknown types.
 */
final class WireSession {

  private final Message.Hello own;
  private final WireListener listener;

  /** Null until the peer's hello was received; never changes afterwards. */
  private volatile Message.Hello peer;

  WireSession(Message.Hello own, WireListener listener) {
    this.own = own;
    this.listener = listener;
  }

  /** Returns the hello of the peer; null before it was received. */
  Message.Hello peer() {
    return peer;
  }

  /**
   * Passes a message to the listener. Fails if a message precedes the hello, or if the peer's
   * protocol versions are incompatible.
   */
  void deliver(WireConnection connection, Message message) {
    switch (message) {
      case Message.Hello hello -> helloReceived(connection, hello);
      case Message.Heartbeat heartbeat -> {
        if (peer != null) {
          listener.heartbeatReceived(connection, heartbeat.documentDigest());
        }
      }
      case Message.Unknown unknown -> {}
      default -> {
        if (peer == null) {
          throw HornbeamusherException.notRun(FailureType.FRAME_MALFORMED, "no hello came first");
        }
        listener.received(connection, message);
      }
    }
  }

  private void helloReceived(WireConnection connection, Message.Hello hello) {
    if (hello.highestProtocol() < own.lowestProtocol()
        || hello.lowestProtocol() > own.highestProtocol()) {
      throw HornbeamusherException.notRun(
          FailureType.PROTOCOL_MISMATCH, hello.highestProtocol(), own.highestProtocol());
    }
    if (peer == null) {
      peer = hello;
      listener.opened(connection, hello);
    }
  }

  /**
   * Returns the failure for a connection that is closed because nothing was received for so long.
   */
  HornbeamusherException timeoutFailure(long millis, Supplier<String> address) {
    return HornbeamusherException.of(
        FailureType.CONNECTION_SILENT, Outcome.UNKNOWN, peerName(address), millis);
  }

  /** Returns the failure for a connection that was closed. */
  HornbeamusherException closedFailure(Supplier<String> address) {
    return HornbeamusherException.of(
        FailureType.CONNECTION_CLOSED, Outcome.UNKNOWN, peerName(address));
  }

  private String peerName(Supplier<String> address) {
    return peer == null ? address.get() : peer.instance();
  }
}

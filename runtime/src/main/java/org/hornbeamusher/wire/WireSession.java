package org.hornbeamusher.wire;

import java.util.function.Supplier;
import org.hornbeamusher.failure.FailureType;
import org.hornbeamusher.failure.HornbeamusherException;
import org.hornbeamusher.failure.Outcome;

/**
 * What two processes say to each other before and between messages: the hello comes first, and
 * heartbeats and messages of unknown types go no further.
 */
final class WireSession {

  private final Message.Hello own;
  private final WireListener listener;

  /** Null until the peer has introduced itself; never changes afterwards. */
  private volatile Message.Hello peer;

  WireSession(Message.Hello own, WireListener listener) {
    this.own = own;
    this.listener = listener;
  }

  /** Returns what the peer said of itself; null before it came. */
  Message.Hello peer() {
    return peer;
  }

  /** Hands a message on; fails when the peer speaks out of turn or another protocol. */
  void deliver(WireConnection connection, Message message) {
    switch (message) {
      case Message.Hello hello -> greet(connection, hello);
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

  private void greet(WireConnection connection, Message.Hello hello) {
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

  /** Nothing came for so long that the connection is given up. */
  HornbeamusherException silent(long millis, Supplier<String> address) {
    return HornbeamusherException.of(
        FailureType.CONNECTION_SILENT, Outcome.UNKNOWN, peerName(address), millis);
  }

  /** The connection has ended. */
  HornbeamusherException closed(Supplier<String> address) {
    return HornbeamusherException.of(
        FailureType.CONNECTION_CLOSED, Outcome.UNKNOWN, peerName(address));
  }

  private String peerName(Supplier<String> address) {
    return peer == null ? address.get() : peer.instance();
  }
}

package org.hornbeamusher.wire;

import org.hornbeamusher.failure.HornbeamusherException;

/**
 * Delegates every event to another listener; subclasses override the events that their owner needs.
 */
class ForwardingListener implements WireListener {

  private final WireListener listener;

  ForwardingListener(WireListener listener) {
    this.listener = listener;
  }

  @Override
  public void opened(WireConnection connection, Message.Hello peer) {
    listener.opened(connection, peer);
  }

  @Override
  public void received(WireConnection connection, Message message) {
    listener.received(connection, message);
  }

  @Override
  public void closed(WireConnection connection, HornbeamusherException reason) {
    listener.closed(connection, reason);
  }

  @Override
  public long documentDigest() {
    return listener.documentDigest();
  }

  @Override
  public void heartbeatReceived(WireConnection connection, long digest) {
    listener.heartbeatReceived(connection, digest);
  }
}

package org.hornbeamusher.wire;

import java.net.InetSocketAddress;
import org.hornbeamusher.clock.SystemClock;

/** Tests connections that have threads of their own. */
class ThreadedConnectionTest extends ConnectionContract {

  @Override
  WireTransport transport() {
    WireSockets plain = new WireSockets.Plain();
    return new WireTransport() {
      @Override
      public WireService listen(
          InetSocketAddress address, Message.Hello own, WireListener listener) {
        return new WireServer(address, own, listener, FAST, plain, SystemClock.INSTANCE);
      }

      @Override
      public WireService connect(
          InetSocketAddress address, Message.Hello own, WireListener listener) {
        return new WireConnector(address, own, listener, FAST, plain, SystemClock.INSTANCE);
      }
    };
  }

  @Override
  InetSocketAddress boundAddress(WireService listening) {
    return ((WireServer) listening).boundAddress();
  }
}

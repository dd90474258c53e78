package org.hornbeamusher.wire;

import java.io.IOException;
import java.net.InetSocketAddress;
import org.hornbeamusher.clock.MonotonicClock;
import org.xnio.OptionMap;
import org.xnio.Options;
import org.xnio.Xnio;
import org.xnio.XnioWorker;

/** Tests connections that share one I/O thread. */
class LoopConnectionTest extends ConnectionContract {

  private XnioWorker worker;

  @Override
  WireTransport transport() throws IOException {
    if (worker == null) {
      worker = Xnio.getInstance().createWorker(OptionMap.create(Options.WORKER_IO_THREADS, 1));
    }
    return new LoopTransport(worker, FAST, MonotonicClock.INSTANCE);
  }

  @Override
  InetSocketAddress boundAddress(WireService listening) {
    return ((LoopServer) listening).boundAddress();
  }

  @Override
  void closeTransport() {
    worker.shutdownNow();
  }
}

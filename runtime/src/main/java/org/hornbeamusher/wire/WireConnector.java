package org.hornbeamusher.wire;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.util.concurrent.CountDownLatch;
import org.hornbeamusher.clock.Clock;
import org.hornbeamusher.failure.HornbeamusherException;

/**
 * Keeps one connection to a peer: opens it, and opens a new one whenever it ends, as {@link
 * ConnectPace} says.
 */
public final class WireConnector implements WireService {

  private final InetSocketAddress address;
  private final Message.Hello own;
  private final WireListener listener;
  private final WireSettings settings;
  private final WireSockets sockets;
  private final Clock clock;
  private final ConnectPace pace;
  private volatile boolean stopped;
  private volatile WireConnection current;
  private volatile Thread thread;

  /**
   * Creates a connector that is not started.
   *
   * @param address the peer's address
   * @param own what this process says of itself
   * @param listener hears what happens on every connection
   * @param settings intervals and bounds
   * @param sockets plain or TLS
   * @param clock the clock
   */
  public WireConnector(
      InetSocketAddress address,
      Message.Hello own,
      WireListener listener,
      WireSettings settings,
      WireSockets sockets,
      Clock clock) {
    this.address = address;
    this.own = own;
    this.listener = listener;
    this.settings = settings;
    this.sockets = sockets;
    this.clock = clock;
    this.pace = new ConnectPace(settings.maxConnectTimeoutMillis());
  }

  @Override
  public void start() {
    thread = Thread.ofVirtual().name("wire-connect").start(this::run);
  }

  @Override
  public void stop() {
    stopped = true;
    WireConnection open = current;
    if (open != null) {
      open.close();
    }
    thread.interrupt();
  }

  /**
   * Opens no further connection; the one that is open goes on until its peer ends it. The list of
   * instances lags and errs, and an agent that left it may still be finishing its work.
   */
  public void stopWhenClosed() {
    stopped = true;
    if (current == null || !current.isOpen()) {
      thread.interrupt();
    }
  }

  private void run() {
    while (!stopped) {
      try {
        if (connectOnce(pace.patienceMillis())) {
          pace.succeeded();
        } else {
          pace.failed();
        }
        Thread.sleep(pace.pauseMillis());
      } catch (InterruptedException e) {
        Thread.currentThread().interrupt();
        return;
      }
    }
  }

  /** Opens a connection and waits for its end; tells whether the peer introduced itself. */
  private boolean connectOnce(int millis) throws InterruptedException {
    Socket socket;
    try {
      socket = sockets.connect();
      socket.setTcpNoDelay(true);
      socket.connect(address, millis);
    } catch (IOException e) {
      return false;
    }
    EndSignal end = new EndSignal(listener);
    ThreadedConnection connection = new ThreadedConnection(socket, own, end, settings, clock);
    current = connection;
    connection.start();
    if (stopped) {
      connection.close();
    }
    end.await();
    return connection.peer() != null;
  }

  private static final class EndSignal extends ForwardingListener {

    private final CountDownLatch ended = new CountDownLatch(1);

    EndSignal(WireListener listener) {
      super(listener);
    }

    void await() throws InterruptedException {
      ended.await();
    }

    @Override
    public void closed(WireConnection connection, HornbeamusherException reason) {
      ended.countDown();
      super.closed(connection, reason);
    }
  }
}

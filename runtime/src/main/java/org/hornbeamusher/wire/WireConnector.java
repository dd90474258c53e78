package org.hornbeamusher.wire;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.util.concurrent.CountDownLatch;
import org.hornbeamusher.clock.Clock;
import org.hornbeamusher.failure.HornbeamusherException;

/**
 * Keeps one connection to a peer open, on virtual threads: connects, and reconnects whenever the
 * connection is closed, with the delays and timeouts of {@link ConnectBackoff}.
 */
public final class WireConnector implements WireService {

  private final InetSocketAddress address;
  private final Message.Hello own;
  private final WireListener listener;
  private final WireSettings settings;
  private final WireSockets sockets;
  private final Clock clock;
  private final ConnectBackoff backoff;
  private volatile boolean stopped;
  private volatile WireConnection current;
  private volatile Thread thread;

  /**
   * Creates a connector that is not started.
   *
   * @param address the peer's address
   * @param own the hello that this process sends
   * @param listener receives the events of every connection
   * @param settings intervals and limits
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
    this.backoff = new ConnectBackoff(settings.maxConnectTimeoutMillis());
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
   * Stops reconnecting; an open connection is kept until the peer closes it. The list of instances
   * may be stale or wrong, and an agent that is no longer in it may still be finishing its work.
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
        if (connectOnce(backoff.connectTimeoutMillis())) {
          backoff.succeeded();
        } else {
          backoff.failed();
        }
        Thread.sleep(backoff.retryDelayMillis());
      } catch (InterruptedException e) {
        Thread.currentThread().interrupt();
        return;
      }
    }
  }

  /** Opens a connection and waits until it is closed; returns whether the peer sent its hello. */
  private boolean connectOnce(int millis) throws InterruptedException {
    Socket socket;
    try {
      socket = sockets.connect();
      socket.setTcpNoDelay(true);
      socket.connect(address, millis);
    } catch (IOException e) {
      return false;
    }
    CloseLatch end = new CloseLatch(listener);
    ThreadedConnection connection = new ThreadedConnection(socket, own, end, settings, clock);
    current = connection;
    connection.start();
    if (stopped) {
      connection.close();
    }
    end.await();
    return connection.peer() != null;
  }

  private static final class CloseLatch extends ForwardingListener {

    private final CountDownLatch ended = new CountDownLatch(1);

    CloseLatch(WireListener listener) {
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

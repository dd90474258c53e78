package org.hornbeamusher.wire;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.ThreadLocalRandom;
import org.hornbeamusher.clock.Clock;
import org.hornbeamusher.failure.HornbeamusherException;

/**
 * Keeps one connection to a peer: opens it, and opens a new one whenever it ends.
 *
 * <p>Attempts to connect back off up to {@link #MAX_BACKOFF_MILLIS} with jitter, so that the
 * entries of a whole zone do not all knock at a restarting agent in the same moment. The bound is
 * low because an attempt costs a packet, and a peer that is back and not connected costs requests:
 * when everything lost power at once, entries that waited a second placed all of that second's
 * requests on engines of which they knew nothing. For the same reason the first attempt is given up
 * soon: the packet that opens it is lost without a word when the peer's machine is still starting,
 * and the system sends it again only after a second. Each further attempt may take twice as long,
 * so that a peer in another region is reached as well.
 */
public final class WireConnector {

  /** Opening a connection takes one round trip: 6 ms within a region, up to 250 between regions. */
  private static final int FIRST_CONNECT_MILLIS = 100;

  private static final long MIN_BACKOFF_MILLIS = 50;
  private static final long MAX_BACKOFF_MILLIS = 200;

  private final InetSocketAddress address;
  private final Message.Hello own;
  private final WireListener listener;
  private final WireSettings settings;
  private final WireSockets sockets;
  private final Clock clock;
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
  }

  /** Starts connecting. */
  public void start() {
    thread = Thread.ofVirtual().name("wire-connect").start(this::run);
  }

  /** Closes the connection and opens no other. */
  public void stop() {
    stopped = true;
    WireConnection open = current;
    if (open != null) {
      open.stop();
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
    long backoff = MIN_BACKOFF_MILLIS;
    int patience = FIRST_CONNECT_MILLIS;
    while (!stopped) {
      try {
        if (connectOnce(Math.min(patience, settings.connectMillis()))) {
          backoff = MIN_BACKOFF_MILLIS;
          patience = FIRST_CONNECT_MILLIS;
        } else {
          backoff = Math.min(backoff * 2, MAX_BACKOFF_MILLIS);
          patience = Math.min(patience * 2, settings.connectMillis());
        }
        Thread.sleep(ThreadLocalRandom.current().nextLong(backoff / 2, backoff + 1));
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
    WireConnection connection = new WireConnection(socket, own, end, settings, clock);
    current = connection;
    connection.start();
    if (stopped) {
      connection.stop();
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

package org.hornbeamusher.wire;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import org.hornbeamusher.clock.Clock;
import org.hornbeamusher.events.EventLog;
import org.hornbeamusher.events.EventType;
import org.hornbeamusher.failure.FailureType;
import org.hornbeamusher.failure.HornbeamusherException;

/** Accepts connections of peers. */
public final class WireServer implements WireService {

  private static final int BACKLOG = 1_024;

  private final InetSocketAddress address;
  private final Message.Hello own;
  private final WireListener listener;
  private final WireSettings settings;
  private final WireSockets sockets;
  private final Clock clock;
  private final Set<WireConnection> connections = ConcurrentHashMap.newKeySet();
  private ServerSocket server;

  /**
   * Creates a server that is not started.
   *
   * @param address where it listens; port 0 picks a free one
   * @param own what this process says of itself
   * @param listener hears what happens on every connection
   * @param settings intervals and bounds
   * @param sockets plain or TLS
   * @param clock the clock
   */
  public WireServer(
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

  @Override
  public void start() {
    try {
      server = sockets.listen();
      server.bind(address, BACKLOG);
    } catch (IOException e) {
      throw HornbeamusherException.notRun(FailureType.CONNECT_FAILED, address, e.getMessage())
          .causedBy(e);
    }
    Thread.ofVirtual().name("wire-accept").start(this::acceptLoop);
  }

  @Override
  public void stop() {
    try {
      server.close();
    } catch (IOException ignored) {
      // The process is leaving; a listener that fails to close ends with it.
    }
    connections.forEach(WireConnection::close);
  }

  /**
   * Returns where the server listens.
   *
   * @return the bound address
   */
  public InetSocketAddress boundAddress() {
    return new InetSocketAddress(
        server.getInetAddress().isAnyLocalAddress()
            ? InetAddress.getLoopbackAddress()
            : server.getInetAddress(),
        server.getLocalPort());
  }

  /**
   * Returns how many connections are open.
   *
   * @return also those whose peer has not introduced itself yet
   */
  public int connections() {
    return connections.size();
  }

  /**
   * Sends a message to every peer that introduced itself.
   *
   * @param message what to send
   */
  public void broadcast(Message message) {
    for (WireConnection connection : connections) {
      if (connection.peer() != null) {
        connection.send(message);
      }
    }
  }

  private void acceptLoop() {
    while (!server.isClosed()) {
      try {
        Socket socket = server.accept();
        socket.setTcpNoDelay(true);
        ThreadedConnection connection =
            new ThreadedConnection(socket, own, new Tracking(), settings, clock);
        connections.add(connection);
        connection.start();
      } catch (IOException e) {
        // One connection that cannot be set up, or the listener that was closed by stop(): the
        // loop's condition tells which; other peers must still be accepted.
        if (!server.isClosed()) {
          EventLog.log(EventType.PEER_LOST, "reason", e);
        }
      }
    }
  }

  private final class Tracking extends ForwardingListener {

    Tracking() {
      super(listener);
    }

    @Override
    public void closed(WireConnection connection, HornbeamusherException reason) {
      connections.remove(connection);
      super.closed(connection, reason);
    }
  }
}

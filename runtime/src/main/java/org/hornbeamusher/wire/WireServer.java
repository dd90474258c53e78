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

/** Accepts connections from peers, on virtual threads. */
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
   * @param address the address to listen on; port 0 picks a free one
   * @param own the hello that this process sends
   * @param listener receives the events of every connection
   * @param settings intervals and limits
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
      // The process is shutting down, which also closes the listening socket.
    }
    connections.forEach(WireConnection::close);
  }

  /**
   * Returns the address that the server listens on.
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
   * Returns the number of open connections.
   *
   * @return the number, including connections whose peer has not sent its hello yet
   */
  public int connections() {
    return connections.size();
  }

  /**
   * Sends a message to every peer that has sent its hello.
   *
   * @param message the message
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
            new ThreadedConnection(socket, own, new ConnectionTracker(), settings, clock);
        connections.add(connection);
        connection.start();
      } catch (IOException e) {
        // Either one connection could not be set up, and other peers must still be accepted, or
        // stop() closed the listening socket, which also ends the loop.
        if (!server.isClosed()) {
          EventLog.log(EventType.PEER_LOST, "reason", e);
        }
      }
    }
  }

  private final class ConnectionTracker extends ForwardingListener {

    ConnectionTracker() {
      super(listener);
    }

    @Override
    public void closed(WireConnection connection, HornbeamusherException reason) {
      connections.remove(connection);
      super.closed(connection, reason);
    }
  }
}

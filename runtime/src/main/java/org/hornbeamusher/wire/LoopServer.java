package org.hornbeamusher.wire;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.hornbeamusher.failure.FailureType;
import org.hornbeamusher.failure.HornbeamusherException;
import org.xnio.ChannelListeners;
import org.xnio.IoUtils;
import org.xnio.OptionMap;
import org.xnio.Options;
import org.xnio.StreamConnection;
import org.xnio.channels.AcceptingChannel;

/** Accepts connections from peers on the I/O thread of a {@link LoopTransport}. */
public final class LoopServer implements WireService {

  private static final OptionMap OPTIONS =
      OptionMap.builder()
          .set(Options.TCP_NODELAY, true)
          .set(Options.REUSE_ADDRESSES, true)
          .set(Options.BACKLOG, 1_024)
          .getMap();

  private final LoopTransport transport;
  private final InetSocketAddress address;
  private final Message.Hello own;
  private final WireListener listener;

  /** Confined to the I/O thread of the transport. */
  private final Set<WireConnection> connections = new HashSet<>();

  private AcceptingChannel<StreamConnection> server;

  LoopServer(
      LoopTransport transport,
      InetSocketAddress address,
      Message.Hello own,
      WireListener listener) {
    this.transport = transport;
    this.address = address;
    this.own = own;
    this.listener = listener;
  }

  @Override
  public void start() {
    try {
      server =
          transport
              .worker()
              .createStreamConnectionServer(
                  address, ChannelListeners.openListenerAdapter(this::accepted), OPTIONS);
    } catch (IOException e) {
      throw HornbeamusherException.notRun(FailureType.CONNECT_FAILED, address, e.getMessage())
          .causedBy(e);
    }
    server.resumeAccepts();
  }

  private void accepted(StreamConnection channel) {
    connections.add(new LoopConnection(transport, channel, own, new ConnectionTracker()));
  }

  @Override
  public void stop() {
    IoUtils.safeClose(server);
    transport.run(() -> List.copyOf(connections).forEach(WireConnection::close));
  }

  /**
   * Returns the address that the server listens on.
   *
   * @return the bound address
   */
  public InetSocketAddress boundAddress() {
    return server.getLocalAddress(InetSocketAddress.class);
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

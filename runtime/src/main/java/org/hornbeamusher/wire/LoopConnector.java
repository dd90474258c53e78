package org.hornbeamusher.wire;

import java.io.IOException;
import java.net.InetSocketAddress;
import org.hornbeamusher.failure.HornbeamusherException;
import org.xnio.IoFuture;
import org.xnio.OptionMap;
import org.xnio.Options;
import org.xnio.StreamConnection;
import org.xnio.XnioExecutor;

/**
 * Keeps one connection to a peer for a {@link LoopTransport}: opens it, and opens a new one
 * whenever it ends, as {@link ConnectPace} says.
 */
public final class LoopConnector implements WireService {

  private static final OptionMap OPTIONS = OptionMap.create(Options.TCP_NODELAY, true);

  private final LoopTransport transport;
  private final InetSocketAddress address;
  private final Message.Hello own;
  private final WireListener listener;
  private final ConnectPace pace;
  private WireConnection current;
  private boolean stopped;

  LoopConnector(
      LoopTransport transport,
      InetSocketAddress address,
      Message.Hello own,
      WireListener listener) {
    this.transport = transport;
    this.address = address;
    this.own = own;
    this.listener = listener;
    this.pace = new ConnectPace(transport.settings().maxConnectTimeoutMillis());
  }

  @Override
  public void start() {
    transport.run(this::connect);
  }

  @Override
  public void stop() {
    transport.run(
        () -> {
          stopped = true;
          if (current != null) {
            current.close();
          }
        });
  }

  private void connect() {
    if (stopped) {
      return;
    }
    IoFuture<StreamConnection> opening =
        transport.thread().openStreamConnection(address, opened -> {}, null, OPTIONS);
    XnioExecutor.Key patience = transport.later(opening::cancel, pace.patienceMillis());
    opening.addNotifier(
        (ended, unused) -> {
          patience.remove();
          transport.run(() -> opened(ended));
        },
        null);
  }

  private void opened(IoFuture<? extends StreamConnection> opening) {
    if (opening.getStatus() != IoFuture.Status.DONE) {
      pace.failed();
      connectLater();
      return;
    }
    try {
      current = new LoopConnection(transport, opening.get(), own, new EndSignal());
    } catch (IOException e) {
      // A finished future that does not give its result has none.
      pace.failed();
      connectLater();
      return;
    }
    if (stopped) {
      current.close();
    }
  }

  private void connectLater() {
    if (!stopped) {
      transport.later(this::connect, pace.pauseMillis());
    }
  }

  private final class EndSignal extends ForwardingListener {

    EndSignal() {
      super(listener);
    }

    @Override
    public void closed(WireConnection connection, HornbeamusherException reason) {
      super.closed(connection, reason);
      if (connection.peer() == null) {
        pace.failed();
      } else {
        pace.succeeded();
      }
      connectLater();
    }
  }
}

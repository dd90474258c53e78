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
 * Keeps one connection of a {@link LoopTransport} to a peer open: connects, and reconnects whenever
 * the connection is closed, with the delays and timeouts of {@link ConnectBackoff}.
 */
public final class LoopConnector implements WireService {

  private static final OptionMap OPTIONS = OptionMap.create(Options.TCP_NODELAY, true);

  private final LoopTransport transport;
  private final InetSocketAddress address;
  private final Message.Hello own;
  private final WireListener listener;
  private final ConnectBackoff backoff;
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
    this.backoff = new ConnectBackoff(transport.settings().maxConnectTimeoutMillis());
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
    XnioExecutor.Key timeout = transport.schedule(opening::cancel, backoff.connectTimeoutMillis());
    opening.addNotifier(
        (ended, unused) -> {
          timeout.remove();
          transport.run(() -> connectEnded(ended));
        },
        null);
  }

  private void connectEnded(IoFuture<? extends StreamConnection> opening) {
    if (opening.getStatus() != IoFuture.Status.DONE) {
      backoff.failed();
      scheduleConnect();
      return;
    }
    try {
      current = new LoopConnection(transport, opening.get(), own, new ReconnectListener());
    } catch (IOException e) {
      // A finished future without a result counts as a failed attempt.
      backoff.failed();
      scheduleConnect();
      return;
    }
    if (stopped) {
      current.close();
    }
  }

  private void scheduleConnect() {
    if (!stopped) {
      transport.schedule(this::connect, backoff.retryDelayMillis());
    }
  }

  private final class ReconnectListener extends ForwardingListener {

    ReconnectListener() {
      super(listener);
    }

    @Override
    public void closed(WireConnection connection, HornbeamusherException reason) {
      super.closed(connection, reason);
      if (connection.peer() == null) {
        backoff.failed();
      } else {
        backoff.succeeded();
      }
      scheduleConnect();
    }
  }
}

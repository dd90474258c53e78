package org.hornbeamusher.http;

import java.net.InetSocketAddress;
import java.util.concurrent.TimeUnit;
import org.xnio.ChannelListener;
import org.xnio.IoFuture;
import org.xnio.OptionMap;
import org.xnio.StreamConnection;
import org.xnio.XnioExecutor;
import org.xnio.XnioIoThread;
import org.xnio.channels.BoundChannel;

/**
 * Opens connections on an I/O thread, limits the bytes that are read from each of them and passes
 * on valid responses only, see {@link ResponseReader}. The client library accepts a thread to
 * connect with, but no conduit. It is never started; everything runs on the I/O thread.
 */
final class LimitedConnector extends XnioIoThread {

  private final XnioIoThread thread;
  private final FramingBudget budget;

  /** The connection that is being opened; read by the callback that receives it. */
  private OpenConnection opened;

  /** What the current thread has begun to open last. */
  private final ThreadLocal<IoFuture<StreamConnection>> opening = new ThreadLocal<>();

  LimitedConnector(XnioIoThread thread, FramingBudget budget) {
    super(thread.getWorker(), thread.getNumber());
    this.budget = budget;
    this.thread = thread;
  }

  /** Returns the connection that was opened last. */
  OpenConnection opened() {
    return opened;
  }

  /** Returns the connection that this thread has begun to open last, once. */
  IoFuture<StreamConnection> takeOpening() {
    IoFuture<StreamConnection> begun = opening.get();
    opening.remove();
    return begun;
  }

  @Override
  protected IoFuture<StreamConnection> openTcpStreamConnection(
      InetSocketAddress bindAddress,
      InetSocketAddress destination,
      ChannelListener<? super StreamConnection> openListener,
      ChannelListener<? super BoundChannel> bindListener,
      OptionMap options) {
    IoFuture<StreamConnection> begun =
        thread.openStreamConnection(
            destination, connection -> filter(connection, openListener), bindListener, options);
    opening.set(begun);
    return begun;
  }

  private void filter(
      StreamConnection connection, ChannelListener<? super StreamConnection> openListener) {
    CarriedRequests carried = new CarriedRequests();
    ResponseByteLimit limit =
        new ResponseByteLimit(connection.getSourceChannel().getConduit(), budget);
    ResponseReader reader = new ResponseReader(limit, carried, limit);
    connection.getSourceChannel().setConduit(reader);
    opened = new OpenConnection(limit, reader, carried);
    @SuppressWarnings("unchecked")
    ChannelListener<StreamConnection> listener = (ChannelListener<StreamConnection>) openListener;
    listener.handleEvent(connection);
  }

  @Override
  public void execute(Runnable command) {
    thread.execute(command);
  }

  @Override
  public XnioExecutor.Key executeAfter(Runnable command, long time, TimeUnit unit) {
    return thread.executeAfter(command, time, unit);
  }

  @Override
  public XnioExecutor.Key executeAtInterval(Runnable command, long time, TimeUnit unit) {
    return thread.executeAtInterval(command, time, unit);
  }
}

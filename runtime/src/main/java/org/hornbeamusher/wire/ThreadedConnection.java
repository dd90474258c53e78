package org.hornbeamusher.wire;

import java.io.BufferedInputStream;
import java.io.BufferedOutputStream;
import java.io.DataInputStream;
import java.io.DataOutputStream;
import java.io.FilterInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicReference;
import org.hornbeamusher.clock.Clock;
import org.hornbeamusher.failure.FailureType;
import org.hornbeamusher.failure.HornbeamusherException;
import org.hornbeamusher.failure.Outcome;
import org.hornbeamusher.membership.HeartbeatMonitor;

/**
 * A connection with blocking I/O on two virtual threads, over plain sockets or TLS.
 *
 * <p>One thread reads and one writes; blocking calls keep the code simple and occupy no platform
 * thread. Messages to send go through a bounded queue. The unread bytes of an attempt are bounded
 * by its credit, so a full queue means that the peer has stopped reading; the connection is then
 * closed instead of letting memory grow.
 *
 * <p>A network device between the peers may drop its state of a connection without notifying either
 * of them: reads then block forever although new connections work. Both peers therefore send
 * heartbeats, and a peer that receives nothing for {@link WireSettings#heartbeatTimeoutMillis}
 * closes the connection. Any received byte counts, because a large message takes longer than that
 * over a slow link. Both threads check this timeout, because the writing one may be blocked in a
 * large message that the peer does not read.
 */
final class ThreadedConnection implements WireConnection {

  /**
   * Holds a few control messages or tokens; larger frames bypass the buffer. With the 121
   * connections of an entry at the size of docs/CAPACITY.md, buffers of four times this size would
   * take 6 MiB that are mostly unused.
   */
  private static final int BUFFER_BYTES = 8 * 1024;

  private final Socket socket;
  private final Message.Hello own;
  private final WireListener listener;
  private final WireSettings settings;
  private final Clock clock;
  private final BlockingQueue<Message> outgoing;
  private final AtomicBoolean closed = new AtomicBoolean();
  private final AtomicReference<HornbeamusherException> closeReason = new AtomicReference<>();
  private final WireSession session;

  /** Guarded by itself: the reading thread updates it, and both threads check it. */
  private final HeartbeatMonitor monitor;

  private long heartbeatsSent;

  /** Bytes received since the last complete message. */
  private volatile long partialMessageBytes;

  private volatile long receivedMillis;

  /**
   * Wraps a connected socket.
   *
   * @param socket the socket
   * @param own the hello that this process sends
   * @param listener receives the events of the connection
   * @param settings intervals and limits
   * @param clock the clock
   */
  ThreadedConnection(
      Socket socket, Message.Hello own, WireListener listener, WireSettings settings, Clock clock) {
    this.socket = socket;
    this.own = own;
    this.listener = listener;
    this.settings = settings;
    this.clock = clock;
    this.session = new WireSession(own, listener);
    this.outgoing = new LinkedBlockingQueue<>(settings.maxQueuedMessages());
    this.monitor =
        new HeartbeatMonitor(
            settings.heartbeatIntervalMillis(),
            Math.toIntExact(settings.heartbeatTimeoutMillis() / settings.heartbeatIntervalMillis()),
            clock.millis());
  }

  /** Starts both threads. */
  void start() {
    Thread.ofVirtual().name("wire-read").start(this::readLoop);
    Thread.ofVirtual().name("wire-write").start(this::writeLoop);
  }

  @Override
  public void close() {
    fail(closedFailure());
  }

  @Override
  public boolean send(Message message) {
    if (closed.get()) {
      return false;
    }
    if (outgoing.offer(message)) {
      return true;
    }
    fail(timeoutFailure());
    return false;
  }

  @Override
  public Message.Hello peer() {
    return session.peer();
  }

  @Override
  public boolean isOpen() {
    return !closed.get();
  }

  @Override
  public boolean receivingLargeMessage() {
    return partialMessageBytes > BUFFER_BYTES
        && clock.millis() - receivedMillis < settings.heartbeatTimeoutMillis() / 2;
  }

  private void readLoop() {
    try {
      socket.setSoTimeout(Math.toIntExact(settings.heartbeatIntervalMillis()));
      DataInputStream in =
          new DataInputStream(
              new BufferedInputStream(new MonitoredStream(socket.getInputStream()), BUFFER_BYTES));
      while (!closed.get()) {
        byte[] frame = FrameStream.read(in);
        partialMessageBytes = 0;
        session.deliver(this, MessageCodec.decode(frame));
      }
    } catch (IOException e) {
      fail(closedFailure().causedBy(e));
    } catch (HornbeamusherException e) {
      fail(e);
    } catch (RuntimeException e) {
      // The listener rejected a field, such as a name with characters that are not allowed. Without
      // this catch the thread would end unnoticed and the socket stay open with nobody reading it.
      fail(
          HornbeamusherException.of(FailureType.FRAME_MALFORMED, Outcome.UNKNOWN, e.getMessage())
              .causedBy(e));
    } finally {
      listener.closed(this, closeReason.get() == null ? closedFailure() : closeReason.get());
    }
  }

  private void writeLoop() {
    try {
      DataOutputStream out =
          new DataOutputStream(new BufferedOutputStream(socket.getOutputStream(), BUFFER_BYTES));
      write(out, own);
      out.flush();
      long nextHeartbeat = clock.millis() + settings.heartbeatIntervalMillis();
      while (!closed.get()) {
        long wait = Math.max(0, nextHeartbeat - clock.millis());
        Message next = outgoing.poll(wait, TimeUnit.MILLISECONDS);
        writeQueued(out, next);
        if (clock.millis() >= nextHeartbeat) {
          write(out, new Message.Heartbeat(heartbeatsSent++, listener.documentDigest()));
          nextHeartbeat = clock.millis() + settings.heartbeatIntervalMillis();
        }
        out.flush();
        checkHeartbeatTimeout();
      }
    } catch (IOException e) {
      fail(closedFailure().causedBy(e));
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      fail(closedFailure().causedBy(e));
    }
  }

  private void writeQueued(DataOutputStream out, Message first) throws IOException {
    Message next = first;
    while (next != null) {
      write(out, next);
      next = outgoing.poll();
    }
  }

  private static void write(DataOutputStream out, Message message) throws IOException {
    FrameStream.write(out, MessageCodec.encode(message));
  }

  private void checkHeartbeatTimeout() {
    synchronized (monitor) {
      if (!monitor.checkTimedOut(clock.millis())) {
        return;
      }
    }
    fail(timeoutFailure());
  }

  private HornbeamusherException timeoutFailure() {
    synchronized (monitor) {
      return session.timeoutFailure(monitor.millisSinceReceived(clock.millis()), this::address);
    }
  }

  private HornbeamusherException closedFailure() {
    return session.closedFailure(this::address);
  }

  private String address() {
    return String.valueOf(socket.getRemoteSocketAddress());
  }

  private void fail(HornbeamusherException reason) {
    if (closed.compareAndSet(false, true)) {
      closeReason.set(reason);
      closeSocket();
    }
  }

  private void closeSocket() {
    try {
      socket.close();
    } catch (IOException ignored) {
      // The connection is being closed; a failure to close its socket changes nothing.
    }
  }

  /** Records when bytes arrive, and checks the heartbeat timeout whenever a read times out. */
  private final class MonitoredStream extends FilterInputStream {

    MonitoredStream(InputStream in) {
      super(in);
    }

    @Override
    public int read() throws IOException {
      byte[] one = new byte[1];
      return read(one, 0, 1) < 0 ? -1 : one[0] & 0xff;
    }

    @Override
    public int read(byte[] bytes, int offset, int length) throws IOException {
      while (true) {
        try {
          int count = super.read(bytes, offset, length);
          recordReceived(Math.max(0, count));
          return count;
        } catch (SocketTimeoutException e) {
          checkHeartbeatTimeout();
        }
      }
    }

    private void recordReceived(int count) {
      receivedMillis = clock.millis();
      partialMessageBytes += count;
      synchronized (monitor) {
        monitor.received(receivedMillis);
      }
    }
  }
}

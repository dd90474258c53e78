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
 * A connection that blocks: two virtual threads carry it, over plain sockets or TLS.
 *
 * <p>One thread reads and one writes; blocking reads and writes keep the code straight and cost no
 * platform thread. Sent messages go through a bounded queue: what an attempt may have under way is
 * bounded by its credit, so a full queue means that the peer stopped reading, and the connection is
 * given up rather than memory filled.
 *
 * <p>Something between the ends may lose track of a connection, and then neither end hears of it:
 * reads block for good while new connections work. Both ends therefore send heartbeats, and an end
 * that receives nothing for {@link WireSettings#heartbeatTimeoutMillis} closes the connection.
 * Every byte counts: a large message takes longer than that on a slow link. Both threads look, as
 * the one that writes may be stuck in a large message that nobody reads.
 */
final class ThreadedConnection implements WireConnection {

  /**
   * A few control messages or tokens. Larger frames pass by the buffer, and at 121 connections (an
   * entry at the size of docs/CAPACITY.md) four times as much is 6 MiB that hold nothing.
   */
  private static final int BUFFER_BYTES = 8 * 1024;

  private final Socket socket;
  private final Message.Hello own;
  private final WireListener listener;
  private final WireSettings settings;
  private final Clock clock;
  private final BlockingQueue<Message> outgoing;
  private final AtomicBoolean closed = new AtomicBoolean();
  private final AtomicReference<HornbeamusherException> reason = new AtomicReference<>();
  private final WireSession session;

  /** Guarded by itself: the reading thread tells it what came, the writing thread asks it. */
  private final HeartbeatMonitor monitor;

  private long heartbeats;

  /** Bytes that have come since the last whole message. */
  private volatile long partBytes;

  private volatile long receivedMillis;

  /**
   * Wraps a connected socket.
   *
   * @param socket the socket
   * @param own what this process says of itself
   * @param listener hears what happens
   * @param settings intervals and bounds
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
    fail(silentFailure());
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
    return partBytes > BUFFER_BYTES
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
        partBytes = 0;
        session.deliver(this, MessageCodec.decode(frame));
      }
    } catch (IOException e) {
      fail(closedFailure().causedBy(e));
    } catch (HornbeamusherException e) {
      fail(e);
    } catch (RuntimeException e) {
      // A message whose fields make no sense to the listener, such as a name in no alphabet of
      // ours.
      // Without this the thread would end unseen and the socket stay open with nobody reading.
      fail(
          HornbeamusherException.of(FailureType.FRAME_MALFORMED, Outcome.UNKNOWN, e.getMessage())
              .causedBy(e));
    } finally {
      listener.closed(this, reason.get() == null ? closedFailure() : reason.get());
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
        writeReady(out, next);
        if (clock.millis() >= nextHeartbeat) {
          write(out, new Message.Heartbeat(heartbeats++, listener.documentDigest()));
          nextHeartbeat = clock.millis() + settings.heartbeatIntervalMillis();
        }
        out.flush();
        checkSilence();
      }
    } catch (IOException e) {
      fail(closedFailure().causedBy(e));
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      fail(closedFailure().causedBy(e));
    }
  }

  private void writeReady(DataOutputStream out, Message first) throws IOException {
    Message next = first;
    while (next != null) {
      write(out, next);
      next = outgoing.poll();
    }
  }

  private static void write(DataOutputStream out, Message message) throws IOException {
    FrameStream.write(out, MessageCodec.encode(message));
  }

  private void checkSilence() {
    synchronized (monitor) {
      if (!monitor.checkTimedOut(clock.millis())) {
        return;
      }
    }
    fail(silentFailure());
  }

  private HornbeamusherException silentFailure() {
    synchronized (monitor) {
      return session.silent(monitor.millisSinceReceived(clock.millis()), this::address);
    }
  }

  private HornbeamusherException closedFailure() {
    return session.closed(this::address);
  }

  private String address() {
    return String.valueOf(socket.getRemoteSocketAddress());
  }

  private void fail(HornbeamusherException why) {
    if (closed.compareAndSet(false, true)) {
      reason.set(why);
      closeSocket();
    }
  }

  private void closeSocket() {
    try {
      socket.close();
    } catch (IOException ignored) {
      // The connection is given up; that its socket cannot be closed cleanly changes nothing.
    }
  }

  /** Notes when bytes come, and looks in between whether they have stopped to. */
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
          checkSilence();
        }
      }
    }

    private void recordReceived(int count) {
      receivedMillis = clock.millis();
      partBytes += count;
      synchronized (monitor) {
        monitor.received(receivedMillis);
      }
    }
  }
}

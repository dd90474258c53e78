package org.hornbeamusher.wire;

import java.io.IOException;
import java.nio.ByteBuffer;
import org.hornbeamusher.failure.FailureType;
import org.hornbeamusher.failure.HornbeamusherException;
import org.hornbeamusher.failure.Outcome;
import org.hornbeamusher.membership.HeartbeatMonitor;
import org.xnio.IoUtils;
import org.xnio.StreamConnection;
import org.xnio.conduits.ConduitStreamSinkChannel;
import org.xnio.conduits.ConduitStreamSourceChannel;

/**
 * A connection of a {@link LoopTransport}, confined to its I/O thread. {@link #send}, {@link
 * #close} and the queries may be called from any thread.
 */
final class LoopConnection implements WireConnection {

  /**
   * Enough for the messages that a busy peer sends per iteration of the event loop; further bytes
   * are read in the next iteration.
   */
  private static final int READ_BYTES = 4 * 1024;

  /**
   * Several seconds of traffic to a busy peer; a peer that leaves more than this unread has stopped
   * reading. The limit is checked before a message is added, so a single message may be larger.
   */
  private static final int MAX_UNSENT_BYTES = 1024 * 1024;

  private final LoopTransport transport;
  private final StreamConnection channel;
  private final ConduitStreamSourceChannel source;
  private final ConduitStreamSinkChannel sink;
  private final WireListener listener;
  private final WireSession session;
  private final HeartbeatMonitor monitor;
  private final FrameBuffer incoming = new FrameBuffer();
  private final FrameBuffer outgoing = new FrameBuffer();
  private volatile boolean open = true;

  /** Whether at least {@link #READ_BYTES} of an incomplete message have arrived. */
  private volatile boolean receiving;

  /**
   * Whether a flush is scheduled already: for the end of this iteration of the event loop, or for
   * when the socket is writable.
   */
  private boolean flushScheduled;

  /** Whether anything was sent since the last {@link #tick}; if so, the peer needs no heartbeat. */
  private boolean sentSinceTick;

  private long sentDigest;
  private long heartbeatsSent;

  LoopConnection(
      LoopTransport transport, StreamConnection channel, Message.Hello own, WireListener listener) {
    this.transport = transport;
    this.channel = channel;
    this.source = channel.getSourceChannel();
    this.sink = channel.getSinkChannel();
    this.listener = listener;
    this.session = new WireSession(own, listener);
    WireSettings settings = transport.settings();
    this.monitor =
        new HeartbeatMonitor(
            settings.heartbeatIntervalMillis(),
            Math.toIntExact(settings.heartbeatTimeoutMillis() / settings.heartbeatIntervalMillis()),
            transport.clock().millis());
    source.getReadSetter().set(ready -> read());
    sink.getWriteSetter().set(ready -> flush());
    enqueue(own);
    transport.register(this);
    source.resumeReads();
  }

  @Override
  public boolean send(Message message) {
    if (!open) {
      return false;
    }
    transport.run(() -> enqueue(message));
    return open;
  }

  @Override
  public Message.Hello peer() {
    return session.peer();
  }

  @Override
  public boolean isOpen() {
    return open;
  }

  @Override
  public boolean receivingLargeMessage() {
    return receiving;
  }

  @Override
  public void close() {
    transport.run(() -> fail(closedFailure()));
  }

  private void enqueue(Message message) {
    if (!open) {
      return;
    }
    if (outgoing.length() > MAX_UNSENT_BYTES) {
      fail(timeoutFailure());
      return;
    }
    outgoing.putFrame(MessageCodec.encode(message));
    sentSinceTick = true;
    if (!flushScheduled) {
      flushScheduled = true;
      transport.thread().execute(this::flush);
    }
  }

  private void flush() {
    if (!open) {
      return;
    }
    try {
      ByteBuffer bytes = outgoing.beginRead();
      while (bytes.hasRemaining() && sink.write(bytes) > 0) {
        // Writes until the socket accepts no more.
      }
      boolean allWritten = !bytes.hasRemaining();
      outgoing.endRead();
      if (allWritten) {
        flushScheduled = false;
        sink.suspendWrites();
      } else {
        sink.resumeWrites();
      }
    } catch (IOException e) {
      fail(closedFailure().causedBy(e));
    }
  }

  private void read() {
    try {
      int count = source.read(incoming.beginWrite(READ_BYTES));
      incoming.endWrite();
      if (count < 0) {
        fail(closedFailure());
      } else if (count > 0) {
        monitor.received(transport.clock().millis());
        takeFrames();
      }
    } catch (IOException e) {
      fail(closedFailure().causedBy(e));
    } catch (HornbeamusherException e) {
      fail(e);
    } catch (RuntimeException e) {
      // The listener rejected a field, such as a name with characters that are not allowed.
      // Without this catch the connection would stay open with nobody reading it.
      fail(
          HornbeamusherException.of(FailureType.FRAME_MALFORMED, Outcome.UNKNOWN, e.getMessage())
              .causedBy(e));
    }
  }

  private void takeFrames() {
    byte[] frame = incoming.takeFrame();
    while (frame != null && open) {
      session.deliver(this, MessageCodec.decode(frame));
      frame = incoming.takeFrame();
    }
    receiving = incoming.length() >= READ_BYTES;
  }

  /** Sends a heartbeat if one is due and checks the heartbeat timeout; called once per interval. */
  void tick() {
    if (!open) {
      return;
    }
    long digest = listener.documentDigest();
    if (!sentSinceTick || digest != sentDigest) {
      enqueue(new Message.Heartbeat(heartbeatsSent++, digest));
      sentDigest = digest;
    }
    sentSinceTick = false;
    long now = transport.clock().millis();
    receiving &=
        monitor.millisSinceReceived(now) < transport.settings().heartbeatTimeoutMillis() / 2;
    if (monitor.checkTimedOut(now)) {
      fail(timeoutFailure());
    }
  }

  private HornbeamusherException timeoutFailure() {
    return session.timeoutFailure(
        monitor.millisSinceReceived(transport.clock().millis()), this::address);
  }

  private HornbeamusherException closedFailure() {
    return session.closedFailure(this::address);
  }

  private String address() {
    return String.valueOf(channel.getPeerAddress());
  }

  private void fail(HornbeamusherException reason) {
    if (open) {
      open = false;
      transport.unregister(this);
      IoUtils.safeClose(channel);
      listener.closed(this, reason);
    }
  }
}

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

/** A connection of a {@link LoopTransport}; confined to its thread but for {@link #send}. */
final class LoopConnection implements WireConnection {

  /** A turn's messages of a busy peer; more is read in the next turn. */
  private static final int READ_BYTES = 4 * 1024;

  /**
   * Seconds of what is sent to a busy peer; one that leaves so much unread has stopped reading. A
   * message that is larger than that waits for its own bytes only.
   */
  private static final int MOST_WAITING_BYTES = 1024 * 1024;

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

  /** Whether a message of more than a read is arriving. */
  private volatile boolean receiving;

  /** Whether a write at the end of this turn, or when the peer has read, is due already. */
  private boolean flushing;

  /** Whether anything was sent since the last heartbeat was due; the peer has heard of us then. */
  private boolean spoken;

  private long toldDigest;
  private long heartbeats;

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
    source.getReadSetter().set(ready -> readable());
    sink.getWriteSetter().set(ready -> flush());
    put(own);
    transport.opened(this);
    source.resumeReads();
  }

  @Override
  public boolean send(Message message) {
    if (!open) {
      return false;
    }
    transport.run(() -> put(message));
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

  private void put(Message message) {
    if (!open) {
      return;
    }
    if (outgoing.length() > MOST_WAITING_BYTES) {
      fail(silentFailure());
      return;
    }
    outgoing.putFrame(MessageCodec.encode(message));
    spoken = true;
    if (!flushing) {
      flushing = true;
      transport.thread().execute(this::flush);
    }
  }

  private void flush() {
    if (!open) {
      return;
    }
    try {
      ByteBuffer bytes = outgoing.readable();
      while (bytes.hasRemaining() && sink.write(bytes) > 0) {
        // Written as far as the peer has room.
      }
      boolean whole = !bytes.hasRemaining();
      outgoing.read();
      if (whole) {
        flushing = false;
        sink.suspendWrites();
      } else {
        sink.resumeWrites();
      }
    } catch (IOException e) {
      fail(closedFailure().causedBy(e));
    }
  }

  private void readable() {
    try {
      int count = source.read(incoming.writable(READ_BYTES));
      incoming.written();
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
      // A message whose fields make no sense to the listener, such as a name in no alphabet of
      // ours. Without this the connection would stay open with nobody reading.
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

  /** Called once in each heartbeat's interval. */
  void tick() {
    if (!open) {
      return;
    }
    long digest = listener.documentDigest();
    if (!spoken || digest != toldDigest) {
      put(new Message.Heartbeat(heartbeats++, digest));
      toldDigest = digest;
    }
    spoken = false;
    long now = transport.clock().millis();
    receiving &=
        monitor.millisSinceReceived(now) < transport.settings().heartbeatTimeoutMillis() / 2;
    if (monitor.checkTimedOut(now)) {
      fail(silentFailure());
    }
  }

  private HornbeamusherException silentFailure() {
    return session.silent(monitor.millisSinceReceived(transport.clock().millis()), this::address);
  }

  private HornbeamusherException closedFailure() {
    return session.closed(this::address);
  }

  private String address() {
    return String.valueOf(channel.getPeerAddress());
  }

  private void fail(HornbeamusherException why) {
    if (open) {
      open = false;
      transport.closed(this);
      IoUtils.safeClose(channel);
      listener.closed(this, why);
    }
  }
}

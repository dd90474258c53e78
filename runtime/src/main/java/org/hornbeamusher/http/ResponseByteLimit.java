package org.hornbeamusher.http;

import java.io.IOException;
import java.nio.ByteBuffer;
import org.xnio.channels.StreamSinkChannel;
import org.xnio.conduits.AbstractStreamSourceConduit;
import org.xnio.conduits.StreamSourceConduit;

/**
 * Fails a connection on which bytes arrive that become neither a head nor a part of a body.
 *
 * <p>The client library buffers a head, an interim response, the size of a chunk or a trailer
 * without a limit, and reads on as long as bytes are available. A server that sends one without end
 * would fill the memory and occupy the I/O thread.
 *
 * <p>What the connections of a client hold together is bounded by {@link FramingBudget}. A head
 * counts until its response has ended. Reads that may return both framing and data are checked
 * after the framing is known to have contained no data.
 */
final class ResponseByteLimit extends AbstractStreamSourceConduit<StreamSourceConduit> {

  /** Usual heads have a few hundred bytes. */
  static final int MAX_BYTES = 128 * 1024;

  private final FramingBudget budget;

  /** Guarded by this, as all fields: a connection may be closed by any thread. */
  private long bytes;

  /** The size of the head, once it is complete. */
  private long headBytes;

  private long recordedBytes;
  private boolean awaitsHead = true;
  private boolean exceeded;
  private boolean closed;

  ResponseByteLimit(StreamSourceConduit next, FramingBudget budget) {
    super(next);
    this.budget = budget;
  }

  /** Called before a request is sent. */
  synchronized void awaitResponse() {
    awaitsHead = true;
    headBytes = 0;
  }

  /** Called when a head was received, which is held until the end of its response. */
  synchronized void headReceived(long size) {
    awaitsHead = false;
    headBytes = size;
    bytes = 0;
    record();
  }

  /** Called when a part of a body was received. */
  synchronized void progressed() {
    bytes = 0;
    record();
  }

  /** Called when everything that has arrived was read and contained no part of a body. */
  synchronized void noData() throws IOException {
    record();
    checkBudget();
  }

  /** Called when the response is complete or the connection is closed. */
  synchronized void responseEnded() {
    headBytes = 0;
    bytes = 0;
    record();
  }

  /** Called when the connection is closed. */
  synchronized void connectionClosed() {
    closed = true;
    responseEnded();
  }

  /** Returns whether the connection failed for this reason. */
  synchronized boolean isExceeded() {
    return exceeded;
  }

  @Override
  public int read(ByteBuffer target) throws IOException {
    int end = target.limit();
    target.limit(target.position() + (int) Math.min(target.remaining(), readableBytes()));
    try {
      return (int) counted(super.read(target));
    } finally {
      target.limit(end);
    }
  }

  @Override
  public long read(ByteBuffer[] targets, int offset, int length) throws IOException {
    if (readableBytes() == Long.MAX_VALUE) {
      return counted(super.read(targets, offset, length));
    }
    for (int i = offset; i < offset + length; i++) {
      if (targets[i].hasRemaining()) {
        return read(targets[i]);
      }
    }
    return 0;
  }

  @Override
  public long transferTo(long count, ByteBuffer through, StreamSinkChannel target)
      throws IOException {
    return counted(super.transferTo(Math.min(count, readableBytes()), through, target));
  }

  /** Returns how much may be read now; a part of a head is read only up to the limit. */
  private synchronized long readableBytes() throws IOException {
    if (!awaitsHead) {
      return Long.MAX_VALUE;
    }
    return checkBudget();
  }

  /** Returns how many bytes more the connection may hold; at least one. */
  private long checkBudget() throws IOException {
    long limit = budget.limitBytes(recordedBytes) - headBytes;
    long left = Math.max(FramingBudget.MIN_BYTES, limit) - bytes;
    exceeded |= bytes > 0 && left <= 0;
    throwIfExceeded();
    return Math.max(1, left);
  }

  private synchronized long counted(long count) throws IOException {
    bytes += Math.max(0, count);
    if (awaitsHead) {
      record();
    }
    exceeded |= bytes > MAX_BYTES;
    throwIfExceeded();
    return count;
  }

  private void throwIfExceeded() throws IOException {
    if (exceeded) {
      throw new IOException("no response within " + bytes + " bytes");
    }
  }

  private void record() {
    long held = closed ? 0 : headBytes + bytes;
    budget.changed(recordedBytes, held);
    recordedBytes = held;
  }
}

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
 */
final class ResponseByteLimit extends AbstractStreamSourceConduit<StreamSourceConduit> {

  /** More than the headers of any valid response. */
  static final int MAX_BYTES = 128 * 1024;

  private long bytes;

  ResponseByteLimit(StreamSourceConduit next) {
    super(next);
  }

  /** Called when a head or a part of a body was received. */
  void progressed() {
    bytes = 0;
  }

  /** Returns whether the connection failed for this reason. */
  boolean isExceeded() {
    return bytes > MAX_BYTES;
  }

  @Override
  public int read(ByteBuffer target) throws IOException {
    return (int) counted(super.read(target));
  }

  @Override
  public long read(ByteBuffer[] targets, int offset, int length) throws IOException {
    return counted(super.read(targets, offset, length));
  }

  @Override
  public long transferTo(long count, ByteBuffer through, StreamSinkChannel target)
      throws IOException {
    return counted(super.transferTo(count, through, target));
  }

  private long counted(long count) throws IOException {
    bytes += Math.max(0, count);
    if (isExceeded()) {
      throw new IOException("no response within " + MAX_BYTES + " bytes");
    }
    return count;
  }
}

package org.hornbeamusher.http;

import java.io.IOException;
import java.nio.ByteBuffer;
import org.xnio.conduits.AbstractStreamSourceConduit;
import org.xnio.conduits.StreamSourceConduit;

/**
 * Fails a connection on which the head of a response has too many lines.
 *
 * <p>The client library parses all that has arrived at once and creates objects for each header.
 * Short headers within {@link ResponseByteLimit} would occupy the I/O thread for tens of
 * milliseconds, once for each response.
 */
final class HeaderCountLimit extends AbstractStreamSourceConduit<StreamSourceConduit> {

  /** Usual responses have a few dozen headers. */
  static final int MAX_LINES = 256;

  private int lines;

  /** Whether nothing but a line end has been read of the current line. */
  private boolean lineEmpty;

  private boolean inHead = true;
  private boolean exceeded;

  HeaderCountLimit(StreamSourceConduit next) {
    super(next);
  }

  /** Called before a request is sent: the next bytes are the begin of its response. */
  void awaitResponse() {
    inHead = true;
    lines = 0;
    lineEmpty = false;
  }

  /** Returns whether the connection failed for this reason. */
  boolean isExceeded() {
    return exceeded;
  }

  @Override
  public int read(ByteBuffer target) throws IOException {
    int begin = target.position();
    int count = super.read(target);
    if (inHead) {
      countLines(target, begin);
    }
    return count;
  }

  @Override
  public long read(ByteBuffer[] targets, int offset, int length) throws IOException {
    if (!inHead) {
      return super.read(targets, offset, length);
    }
    for (int i = offset; i < offset + length; i++) {
      if (targets[i].hasRemaining()) {
        return read(targets[i]);
      }
    }
    return 0;
  }

  private void countLines(ByteBuffer target, int begin) throws IOException {
    for (int i = begin; i < target.position() && inHead; i++) {
      byte next = target.get(i);
      if (next == '\n') {
        inHead = !lineEmpty;
        lines++;
        lineEmpty = true;
      } else if (next != '\r') {
        lineEmpty = false;
      }
    }
    exceeded |= lines > MAX_LINES;
    if (exceeded) {
      throw new IOException("no response within " + MAX_LINES + " lines");
    }
  }
}

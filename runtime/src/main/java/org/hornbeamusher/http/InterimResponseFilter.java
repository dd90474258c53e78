package org.hornbeamusher.http;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import org.xnio.conduits.AbstractStreamSourceConduit;
import org.xnio.conduits.StreamSourceConduit;

/**
 * Removes interim responses (RFC 9110, section 15.2) in front of a final one.
 *
 * <p>A server may send them to any client, for example 103 with links to preload. The client
 * library handles 100 only: it would report any other one as a complete response without a body,
 * and the final response, still to come, would be read as that of the next request.
 *
 * <p>Example: of {@code "HTTP/1.1 103 x\r\nLink: y\r\n\r\nHTTP/1.1 200 OK\r\n"} the library reads
 * {@code "HTTP/1.1 200 OK\r\n"}. The status 101 is kept: it is final for this request, which did
 * not ask for another protocol.
 */
final class InterimResponseFilter extends AbstractStreamSourceConduit<StreamSourceConduit> {

  private static final byte[] VERSION = "HTTP/1.".getBytes(StandardCharsets.US_ASCII);

  /** The bytes of a status line up to the end of the status. */
  private static final int STATUS_END = 12;

  private static final int STATUS_BEGIN = 9;

  /** The first digit of the status of an interim response. */
  private static final byte INTERIM_CLASS = '1';

  private static final String SWITCHING_PROTOCOLS = "101";

  /** Bytes of a status line whose status has not arrived completely. */
  private final byte[] held = new byte[STATUS_END];

  private int heldBytes;
  private Position position = Position.STATUS_LINE;

  /** Whether only a line end has been read of the current line of an interim response. */
  private boolean lineEmpty;

  InterimResponseFilter(StreamSourceConduit next) {
    super(next);
  }

  /** Called before a request is sent: the next bytes are the begin of its response. */
  void awaitResponse() {
    position = Position.STATUS_LINE;
    heldBytes = 0;
  }

  @Override
  public int read(ByteBuffer target) throws IOException {
    while (position != Position.FINAL_RESPONSE) {
      final int begin = target.position();
      final int end = target.limit();
      target.limit(end - heldBytes);
      int count = super.read(target);
      target.limit(end);
      if (count < 0 && heldBytes > 0) {
        return release(target, ByteBuffer.allocate(0));
      }
      if (count <= 0) {
        return count;
      }
      if (beginsFinalResponse(target, begin, count)) {
        position = Position.FINAL_RESPONSE;
        return count;
      }
      ByteBuffer part = ByteBuffer.allocate(count);
      part.put(target.flip().position(begin)).flip();
      target.limit(end).position(begin);
      skip(part);
      if (position == Position.FINAL_RESPONSE) {
        return release(target, part);
      }
    }
    return super.read(target);
  }

  @Override
  public long read(ByteBuffer[] targets, int offset, int length) throws IOException {
    if (position == Position.FINAL_RESPONSE) {
      return super.read(targets, offset, length);
    }
    for (int i = offset; i < offset + length; i++) {
      if (targets[i].hasRemaining()) {
        return read(targets[i]);
      }
    }
    return 0;
  }

  /** Recognises nearly all responses without a copy. */
  private boolean beginsFinalResponse(ByteBuffer target, int begin, int count) {
    return position == Position.STATUS_LINE
        && heldBytes == 0
        && count > STATUS_BEGIN
        && target.get(begin + STATUS_BEGIN) != INTERIM_CLASS;
  }

  /** Passes on the bytes that were held and those of a part. */
  private int release(ByteBuffer target, ByteBuffer part) {
    position = Position.FINAL_RESPONSE;
    int count = heldBytes + part.remaining();
    target.put(held, 0, heldBytes).put(part);
    heldBytes = 0;
    return count;
  }

  /** Consumes interim responses; the rest of the part belongs to the final one. */
  private void skip(ByteBuffer part) {
    while (part.hasRemaining() && position != Position.FINAL_RESPONSE) {
      if (position == Position.STATUS_LINE) {
        readStatus(part);
      } else {
        skipByte(part.get());
      }
    }
  }

  private void readStatus(ByteBuffer part) {
    held[heldBytes++] = part.get();
    if (!mayBeInterim()) {
      position = Position.FINAL_RESPONSE;
    } else if (heldBytes == STATUS_END) {
      position = Position.INTERIM_HEAD;
      heldBytes = 0;
      lineEmpty = false;
    }
  }

  /** Returns whether the bytes that are held can be the begin of an interim response. */
  private boolean mayBeInterim() {
    int last = heldBytes - 1;
    if (last < VERSION.length) {
      return held[last] == VERSION[last];
    }
    if (last == STATUS_BEGIN) {
      return held[last] == INTERIM_CLASS;
    }
    return heldBytes < STATUS_END
        || !new String(held, StandardCharsets.US_ASCII).endsWith(SWITCHING_PROTOCOLS);
  }

  private void skipByte(byte next) {
    if (next == '\n') {
      if (lineEmpty) {
        position = Position.STATUS_LINE;
      }
      lineEmpty = true;
    } else if (next != '\r') {
      lineEmpty = false;
    }
  }

  /** Where the next byte of the connection belongs. */
  private enum Position {
    STATUS_LINE,
    INTERIM_HEAD,
    FINAL_RESPONSE
  }
}

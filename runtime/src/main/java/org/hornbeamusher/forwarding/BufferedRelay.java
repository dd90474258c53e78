package org.hornbeamusher.forwarding;

import java.io.ByteArrayOutputStream;
import java.util.List;
import java.util.OptionalLong;
import org.hornbeamusher.http.HttpHead;
import org.hornbeamusher.http.HttpHeader;

/**
 * Buffers a response until it is complete, so that one that breaks off can be replaced by that of
 * another endpoint or by a failure. A long response is streamed once the buffer is full.
 */
final class BufferedRelay implements ResponseRelay {

  /** Every decimal number with this many digits fits in a long. */
  private static final int MAX_DIGITS = 18;

  /** Responses of plain services have a few kilobytes; the bound limits the memory in use. */
  private static final int MAX_BUFFERED_BYTES = 128 * 1024;

  /** The bound while the memory of the process is scarce. */
  private static final int MAX_BUFFERED_BYTES_WHEN_SCARCE = 16 * 1024;

  private static final String LENGTH = "Content-Length";

  private final CallerResponse caller;
  private ByteArrayOutputStream buffer = new ByteArrayOutputStream();
  private List<HttpHeader> headers = List.of();
  private OptionalLong length = OptionalLong.empty();
  private int status;
  private boolean started;

  BufferedRelay(CallerResponse caller) {
    this.caller = caller;
  }

  /** Two responses cannot be joined, so nothing can replace one that was partly sent. */
  @Override
  public boolean head(HttpHead head, List<HttpHeader> toCaller) {
    if (started) {
      return false;
    }
    status = head.status();
    headers = toCaller;
    length = head.first(LENGTH).map(BufferedRelay::length).orElse(OptionalLong.empty());
    buffer.reset();
    return true;
  }

  /** Parses a length; ignores an invalid one, so that the response is sent without a length. */
  private static OptionalLong length(String text) {
    if (text.isEmpty() || text.length() > MAX_DIGITS) {
      return OptionalLong.empty();
    }
    for (int i = 0; i < text.length(); i++) {
      if (text.charAt(i) < '0' || text.charAt(i) > '9') {
        return OptionalLong.empty();
      }
    }
    return OptionalLong.of(Long.parseLong(text));
  }

  @Override
  public void data(byte[] bytes) {
    if (started) {
      caller.write(bytes);
      return;
    }
    buffer.writeBytes(bytes);
    if (buffer.size() > maxBufferedBytes()) {
      start(length);
    }
  }

  private int maxBufferedBytes() {
    return caller.isMemoryScarce() ? MAX_BUFFERED_BYTES_WHEN_SCARCE : MAX_BUFFERED_BYTES;
  }

  private void start(OptionalLong announced) {
    started = true;
    caller.head(status, headers, announced);
    byte[] buffered = buffer.toByteArray();
    buffer = new ByteArrayOutputStream();
    caller.write(buffered);
  }

  @Override
  public void end() {
    if (!started) {
      start(OptionalLong.of(buffer.size()));
    }
    caller.end();
  }

  @Override
  public boolean started() {
    return started;
  }

  @Override
  public int status() {
    return status;
  }

  @Override
  public OptionalLong lastEvent() {
    return OptionalLong.empty();
  }

  @Override
  public long bufferedBytes() {
    return buffer.size();
  }

  @Override
  public boolean isUnbounded() {
    return false;
  }

  @Override
  public boolean canEnd() {
    return true;
  }

  @Override
  public boolean canContinue() {
    return !started;
  }
}

package org.hornbeamusher.forwarding;

import java.io.ByteArrayOutputStream;
import java.util.List;
import java.util.OptionalLong;
import org.hornbeamusher.http.HttpHead;
import org.hornbeamusher.http.HttpHeader;

/**
 * Holds an answer until it is whole, so that one which breaks off can be replaced by another
 * endpoint's or by a failure. A long one is passed on as it comes.
 */
final class WholeRelay implements AnswerRelay {

  /** Answers of plain services are a few kilobytes; beyond this, memory counts for more. */
  private static final int MOST_HELD_BYTES = 128 * 1024;

  private static final String LENGTH = "Content-Length";

  private final CallerAnswer caller;
  private final ByteArrayOutputStream held = new ByteArrayOutputStream();
  private List<HttpHeader> headers = List.of();
  private OptionalLong length = OptionalLong.empty();
  private int status;
  private boolean started;

  WholeRelay(CallerAnswer caller) {
    this.caller = caller;
  }

  /** Two answers cannot be joined: what has begun to go out is finished by nobody else. */
  @Override
  public boolean head(HttpHead head, List<HttpHeader> toCaller) {
    if (started) {
      return false;
    }
    status = head.status();
    headers = toCaller;
    length =
        head.first(LENGTH).stream()
            .filter(text -> text.matches("\\d{1,18}"))
            .mapToLong(Long::parseLong)
            .findFirst();
    held.reset();
    return true;
  }

  @Override
  public void data(byte[] bytes) {
    if (started) {
      caller.write(bytes);
      return;
    }
    held.writeBytes(bytes);
    if (held.size() > MOST_HELD_BYTES) {
      start(length);
    }
  }

  private void start(OptionalLong announced) {
    started = true;
    caller.head(status, headers, announced);
    caller.write(held.toByteArray());
  }

  @Override
  public void end() {
    if (!started) {
      start(OptionalLong.of(held.size()));
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
  public boolean canEnd() {
    return true;
  }

  @Override
  public boolean canContinue() {
    return !started;
  }
}

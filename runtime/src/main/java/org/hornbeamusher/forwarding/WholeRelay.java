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

  /** Every number of so many digits is a long. */
  private static final int MOST_DIGITS = 18;

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
    length = head.first(LENGTH).map(WholeRelay::length).orElse(OptionalLong.empty());
    held.reset();
    return true;
  }

  /** A length that is no number is none: the answer then ends with its connection. */
  private static OptionalLong length(String text) {
    if (text.isEmpty() || text.length() > MOST_DIGITS) {
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

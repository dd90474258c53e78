package org.hornbeamusher.forwarding;

import java.util.List;
import java.util.Locale;
import java.util.OptionalLong;
import org.hornbeamusher.http.HttpHead;
import org.hornbeamusher.http.HttpHeader;

/**
 * Passes a stream on event by event.
 *
 * <p>The head goes out with the first event, so that an endpoint that dies before it leaves nothing
 * behind. After it, another endpoint's events follow in the same answer, under the first one's
 * head; an endpoint that answers with anything but events cannot go on. A failure before the first
 * event is no stream and is passed on whole.
 */
final class EventRelay implements AnswerRelay {

  private static final String CONTENT_TYPE = "Content-Type";

  private final CallerAnswer caller;
  private EventSplitter splitter = new EventSplitter();
  private List<HttpHeader> headers = List.of();
  private OptionalLong lastEvent;
  private int status;

  /** The media type of the stream that the caller has, without its parameters. */
  private String type = "";

  private boolean started;

  /** False once the caller has an event without a number: nobody could go on after it. */
  private boolean numbered = true;

  /** Takes the bytes of an attempt that answered with a failure; null in a stream. */
  private WholeRelay failure;

  EventRelay(CallerAnswer caller, OptionalLong lastEvent) {
    this.caller = caller;
    this.lastEvent = lastEvent;
  }

  /**
   * Once events have gone out only events may follow. A failure has none: judged by its bytes alone
   * it would be the end of the stream, and half an answer would look whole.
   */
  @Override
  public boolean head(HttpHead head, List<HttpHeader> toCaller) {
    if (!canContinue() || (started && !goesOn(head))) {
      return false;
    }
    splitter = new EventSplitter();
    failure = null;
    if (!started) {
      status = head.status();
      type = contentType(head);
      headers = toCaller;
      if (!head.success()) {
        failure = new WholeRelay(caller);
        return failure.head(head, toCaller);
      }
    }
    return true;
  }

  /**
   * A page that explains why there is no answer may come with the status of a success. An answer of
   * the right type without any event is taken for the end: the endpoint before it may have broken
   * off between its last event and its end.
   */
  private boolean goesOn(HttpHead head) {
    return head.status() == status && contentType(head).equals(type);
  }

  private static String contentType(HttpHead head) {
    String value = head.first(CONTENT_TYPE).orElse("");
    return value.split(";", 2)[0].trim().toLowerCase(Locale.ROOT);
  }

  @Override
  public void data(byte[] bytes) {
    if (failure != null) {
      failure.data(bytes);
      return;
    }
    for (EventSplitter.Event event : splitter.take(bytes)) {
      pass(event);
    }
  }

  /** An event that the caller has already is dropped; a resumed stream may begin too early. */
  private void pass(EventSplitter.Event event) {
    if (event.id().isPresent()) {
      if (lastEvent.isPresent() && event.id().getAsLong() <= lastEvent.getAsLong()) {
        return;
      }
      lastEvent = event.id();
    } else if (!event.comment()) {
      numbered = false;
    }
    start();
    caller.write(event.bytes());
  }

  private void start() {
    if (!started) {
      started = true;
      caller.head(status, headers, OptionalLong.empty());
    }
  }

  @Override
  public void end() {
    if (failure != null) {
      failure.end();
      return;
    }
    start();
    caller.write(splitter.rest());
    caller.end();
  }

  @Override
  public boolean started() {
    return started || (failure != null && failure.started());
  }

  @Override
  public int status() {
    return status;
  }

  @Override
  public OptionalLong lastEvent() {
    return lastEvent;
  }

  /** A stream that ends in the middle of an event was cut, whatever its framing says. */
  @Override
  public boolean canEnd() {
    return failure != null || splitter.rest().length == 0;
  }

  @Override
  public boolean canContinue() {
    return numbered && (failure == null || failure.canContinue());
  }
}

package org.hornbeamusher.forwarding;

import java.util.List;
import java.util.OptionalLong;
import org.hornbeamusher.http.HttpHead;
import org.hornbeamusher.http.HttpHeader;

/**
 * Passes a stream on event by event.
 *
 * <p>The head goes out with the first event, so that an endpoint that dies before it leaves nothing
 * behind. After it, another endpoint's events follow in the same answer, under the first one's
 * head.
 */
final class EventRelay implements AnswerRelay {

  private final CallerAnswer caller;
  private EventSplitter splitter = new EventSplitter();
  private List<HttpHeader> headers = List.of();
  private OptionalLong lastEvent;
  private int status;
  private boolean started;

  EventRelay(CallerAnswer caller, OptionalLong lastEvent) {
    this.caller = caller;
    this.lastEvent = lastEvent;
  }

  @Override
  public void head(HttpHead head, List<HttpHeader> toCaller) {
    splitter = new EventSplitter();
    if (!started) {
      status = head.status();
      headers = toCaller;
    }
  }

  @Override
  public void data(byte[] bytes) {
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
    start();
    caller.write(splitter.rest());
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
    return lastEvent;
  }

  /** A stream that ends in the middle of an event was cut, whatever its framing says. */
  @Override
  public boolean canEnd() {
    return splitter.rest().length == 0;
  }
}

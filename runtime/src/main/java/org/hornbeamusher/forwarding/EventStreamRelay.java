package org.hornbeamusher.forwarding;

import java.util.List;
import java.util.Locale;
import java.util.OptionalLong;
import org.hornbeamusher.http.HttpHead;
import org.hornbeamusher.http.HttpHeader;

/**
 * Relays a stream event by event.
 *
 * <p>The head is sent with the first event, so that an endpoint that fails before it leaves nothing
 * behind. After that, events of another endpoint may continue the same response under the first
 * head; a response that is not an event stream cannot continue it. A failure before the first event
 * is not a stream and is relayed as a buffered response.
 */
final class EventStreamRelay implements ResponseRelay {

  private static final String CONTENT_TYPE = "Content-Type";
  private static final String CONTENT_LENGTH = "Content-Length";
  private static final String TRANSFER_ENCODING = "Transfer-Encoding";

  private final CallerResponse caller;
  private EventSplitter splitter = new EventSplitter();
  private List<HttpHeader> headers = List.of();
  private OptionalLong lastEvent;
  private int status;

  /** The media type of the stream sent to the caller, without parameters. */
  private String type = "";

  private boolean started;

  /** Whether the response has neither a length nor chunks, so that only its connection ends it. */
  private boolean unframed;

  /** False after an event without an id was relayed: no endpoint could resume after it. */
  private boolean resumable = true;

  /** Relays the response of an attempt that failed; null for a stream. */
  private BufferedRelay failure;

  EventStreamRelay(CallerResponse caller, OptionalLong lastEvent) {
    this.caller = caller;
    this.lastEvent = lastEvent;
  }

  /**
   * After the first event only events may follow. A failure contains no event, so without this
   * check it would be taken for the end of the stream and a truncated response would look complete.
   */
  @Override
  public boolean head(HttpHead head, List<HttpHeader> toCaller) {
    if (!canContinue() || (started && !continuesStream(head))) {
      return false;
    }
    splitter = new EventSplitter();
    failure = null;
    unframed = head.first(CONTENT_LENGTH).isEmpty() && head.first(TRANSFER_ENCODING).isEmpty();
    if (!started) {
      status = head.status();
      type = contentType(head);
      headers = toCaller;
      if (!head.isSuccess()) {
        failure = new BufferedRelay(caller);
        return failure.head(head, toCaller);
      }
    }
    return true;
  }

  /**
   * Compares the media type as well, because an error page may have a success status. A response of
   * the right type without any event is accepted as the end: the previous endpoint may have failed
   * between its last event and the end of its stream.
   */
  private boolean continuesStream(HttpHead head) {
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
      relay(event);
    }
  }

  /** Drops events that the caller already has, since a resumed stream may begin too early. */
  private void relay(EventSplitter.Event event) {
    if (event.id().isPresent()) {
      if (lastEvent.isPresent() && event.id().getAsLong() <= lastEvent.getAsLong()) {
        return;
      }
      lastEvent = event.id();
    } else if (!event.comment()) {
      resumable = false;
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
    caller.write(splitter.incompleteBytes());
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

  @Override
  public long bufferedBytes() {
    return splitter.incompleteLength() + (failure == null ? 0 : failure.bufferedBytes());
  }

  @Override
  public boolean isUnbounded() {
    return splitter.eventTooLong(caller.isMemoryScarce());
  }

  /**
   * A stream that ends within an event is truncated, even if its HTTP framing is complete. So is
   * one that ends with its connection before its first event.
   */
  @Override
  public boolean canEnd() {
    boolean endedBeforeItBegan = unframed && !started && lastEvent.isEmpty();
    return failure != null || (splitter.incompleteLength() == 0 && !endedBeforeItBegan);
  }

  @Override
  public boolean canContinue() {
    return resumable && (failure == null || failure.canContinue());
  }
}

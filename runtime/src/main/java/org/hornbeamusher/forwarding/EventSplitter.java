package org.hornbeamusher.forwarding;

import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.OptionalLong;

/**
 * Splits the bytes of an event stream into complete events.
 *
 * <p>An endpoint may fail in the middle of an event. Another endpoint then resumes after the last
 * complete event that the caller received, so a partial event must not be relayed.
 *
 * <p>Example: after {@code "id: 1\n\nid: 2\nda"} one event, with id 1, has been returned; the rest
 * waits for {@code "ta: x\n\n"}.
 */
final class EventSplitter {

  private static final byte LINE_FEED = '\n';
  private static final byte CARRIAGE_RETURN = '\r';
  private static final String ID = "id:";
  private static final String COMMENT = ":";

  /** An event contains a few tokens; the bound limits the memory in use. */
  private static final int MAX_EVENT_BYTES = 1024 * 1024;

  /** The bound while the memory of the process is scarce. */
  private static final int MAX_EVENT_BYTES_WHEN_SCARCE = 64 * 1024;

  private static final int INITIAL_EVENT_BYTES = 512;

  private ByteArrayOutputStream event = new ByteArrayOutputStream(INITIAL_EVENT_BYTES);
  private boolean lineEmpty = true;

  /** Adds bytes and returns the events that they complete. */
  List<Event> take(byte[] bytes) {
    List<Event> complete = new ArrayList<>();
    for (byte next : bytes) {
      event.write(next);
      if (next == LINE_FEED) {
        if (lineEmpty) {
          complete.add(event(event.toByteArray()));
          resetEvent();
        }
        lineEmpty = true;
      } else if (next != CARRIAGE_RETURN) {
        lineEmpty = false;
      }
    }
    return complete;
  }

  /** Releases the buffer of a long event, which the stream would otherwise keep. */
  private void resetEvent() {
    if (event.size() > INITIAL_EVENT_BYTES) {
      event = new ByteArrayOutputStream(INITIAL_EVENT_BYTES);
    } else {
      event.reset();
    }
  }

  /** Returns whether an event is longer than any valid one. */
  boolean eventTooLong(boolean memoryScarce) {
    return event.size() > (memoryScarce ? MAX_EVENT_BYTES_WHEN_SCARCE : MAX_EVENT_BYTES);
  }

  /** Returns the length of an incomplete event; 0 at the end of a complete stream. */
  int incompleteLength() {
    return event.size();
  }

  /** Returns the bytes of an incomplete event; empty at the end of a complete stream. */
  byte[] incompleteBytes() {
    return event.toByteArray();
  }

  private static Event event(byte[] bytes) {
    OptionalLong id = OptionalLong.empty();
    boolean comment = true;
    for (String line : new String(bytes, StandardCharsets.UTF_8).split("\n")) {
      if (line.startsWith(ID)) {
        id = number(line.substring(ID.length()).trim());
      }
      comment &= line.isBlank() || line.startsWith(COMMENT);
    }
    return new Event(bytes, id, comment);
  }

  private static OptionalLong number(String text) {
    try {
      return OptionalLong.of(Long.parseLong(text));
    } catch (NumberFormatException e) {
      // The event is relayed, but the stream cannot be resumed after it.
      return OptionalLong.empty();
    }
  }

  /**
   * One event.
   *
   * @param bytes the event, unmodified
   * @param id its numeric id; empty if it has none
   * @param comment whether it contains only comments
   */
  record Event(byte[] bytes, OptionalLong id, boolean comment) {}
}

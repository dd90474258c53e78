package org.hornbeamusher.forwarding;

import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.OptionalLong;

/**
 * Cuts the bytes of an event stream into whole events.
 *
 * <p>An endpoint may break off in the middle of an event. Another endpoint then goes on after the
 * last event that the caller has whole, so a part of an event must not have been passed on.
 *
 * <p>Example: after {@code "id: 1\n\nid: 2\nda"} one event has been given out, with number 1; the
 * rest waits for {@code "ta: x\n\n"}.
 */
final class EventSplitter {

  private static final byte LINE_FEED = '\n';
  private static final byte CARRIAGE_RETURN = '\r';
  private static final String ID = "id:";
  private static final String COMMENT = ":";

  private final ByteArrayOutputStream event = new ByteArrayOutputStream();
  private boolean lineEmpty = true;

  /** Takes bytes and returns the events that are whole with them. */
  List<Event> take(byte[] bytes) {
    List<Event> whole = new ArrayList<>();
    for (byte next : bytes) {
      event.write(next);
      if (next == LINE_FEED) {
        if (lineEmpty) {
          whole.add(event(event.toByteArray()));
          event.reset();
        }
        lineEmpty = true;
      } else if (next != CARRIAGE_RETURN) {
        lineEmpty = false;
      }
    }
    return whole;
  }

  /** Returns the bytes of an event that is not whole; none at the end of a whole stream. */
  byte[] rest() {
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
      // Not a number: the event is passed on but no stream can be resumed after it.
      return OptionalLong.empty();
    }
  }

  /**
   * One event as it came.
   *
   * @param bytes the whole of it
   * @param id its number; empty when it has none
   * @param comment whether it carries nothing for the caller
   */
  record Event(byte[] bytes, OptionalLong id, boolean comment) {}
}

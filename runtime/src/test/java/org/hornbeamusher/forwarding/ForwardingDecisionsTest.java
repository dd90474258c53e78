package org.hornbeamusher.forwarding;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;
import org.hornbeamusher.ratelimit.SlidingWindowCounter;
import org.junit.jupiter.api.Test;

class ForwardingDecisionsTest {

  @Test
  void eventIsReturnedOnlyWhenComplete() {
    EventSplitter splitter = new EventSplitter();
    assertEquals(List.of("id: 1\n\n"), texts(splitter.take(bytes("id: 1\n\nid: 2\nda"))));
    assertEquals("id: 2\nda", new String(splitter.incompleteBytes(), StandardCharsets.UTF_8));
    List<EventSplitter.Event> second = splitter.take(bytes("ta: x\r\n\r\n"));
    assertEquals(2, second.get(0).id().orElseThrow());
    assertEquals(0, splitter.incompleteBytes().length);
  }

  /** Splitting the bytes of a stream differently yields the same events, without losing a byte. */
  @Property(tries = 200, seed = "42")
  void eventsDoNotDependOnHowBytesArrive(
      @ForAll @Size(max = 30) List<@IntRange(min = 1, max = 9) Integer> cuts) {
    String stream = "id: 1\ndata: a\n\n: note\n\nid: 22\ndata: b\ndata: c\n\n";
    List<String> whole = texts(new EventSplitter().take(bytes(stream)));
    EventSplitter splitter = new EventSplitter();
    List<String> pieces = new ArrayList<>();
    int at = 0;
    for (int cut : cuts) {
      int end = Math.min(stream.length(), at + cut);
      pieces.addAll(texts(splitter.take(bytes(stream.substring(at, end)))));
      at = end;
    }
    pieces.addAll(texts(splitter.take(bytes(stream.substring(at)))));
    assertEquals(whole, pieces);
    assertEquals(stream, String.join("", pieces));
  }

  @Test
  void countsExpireStepByStep() {
    SlidingWindowCounter count = new SlidingWindowCounter(1_000);
    count.add(0);
    count.add(500);
    assertEquals(2, count.total(900));
    assertEquals(1, count.total(1_000));
    assertEquals(0, count.total(1_500));
    assertEquals(0, count.total(90_000));
  }

  private static List<String> texts(List<EventSplitter.Event> events) {
    return events.stream().map(event -> new String(event.bytes(), StandardCharsets.UTF_8)).toList();
  }

  private static byte[] bytes(String text) {
    return text.getBytes(StandardCharsets.UTF_8);
  }
}

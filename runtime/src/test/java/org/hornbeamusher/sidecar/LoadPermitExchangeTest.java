package org.hornbeamusher.sidecar;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.codahale.metrics.MetricRegistry;
import java.util.ArrayList;
import java.util.List;
import org.hornbeamusher.clock.ManualClock;
import org.hornbeamusher.recovery.LoadPermits;
import org.hornbeamusher.recovery.StoreLoadDemand;
import org.hornbeamusher.wire.Message;
import org.hornbeamusher.wire.WireConnection;
import org.junit.jupiter.api.Test;

class LoadPermitExchangeTest {

  private static final StoreLoadDemand ONE = new StoreLoadDemand(1, 1);
  private static final long LONG_SILENCE_MILLIS = 150;
  private static final long SUSPENSION_MILLIS = 10_000;

  private final ManualClock clock = new ManualClock(0);
  private final LoadPermitExchange exchange = exchange();
  private final Entry first = new Entry("entry-1");
  private final Entry second = new Entry("entry-2");
  private final Entry third = new Entry("entry-3");

  private LoadPermitExchange exchange() {
    return new LoadPermitExchange(clock, new MetricRegistry());
  }

  /** Guards against agents that choose different coordinators by the order of connections. */
  @Test
  void agentsWithTheSameEntriesChooseTheSameCoordinator() {
    connectAll(exchange, first, second, third);
    List.of(first, second, third).forEach(entry -> entry.sent.clear());
    exchange.update(ONE);
    final Entry chosen = chosen();
    LoadPermitExchange other = exchange();
    List.of(first, second, third).forEach(entry -> entry.sent.clear());
    connectAll(other, third, first, second);
    List.of(first, second, third).forEach(entry -> entry.sent.clear());
    other.update(ONE);
    assertEquals(chosen, chosen());
  }

  @Test
  void nextEntryIsChosenWhenTheCoordinatorIsLost() {
    connectAll(exchange, first, second);
    first.sent.clear();
    second.sent.clear();
    exchange.update(ONE);
    Entry lost = chosen();
    lost.sent.clear();
    exchange.entryDisconnected(lost);
    exchange.update(ONE);
    assertNotEquals(lost, chosen());
  }

  /** Guards against loads that wait for an entry that does not know the message. */
  @Test
  void silentCoordinatorIsPassedOverForSomeTime() {
    connectAll(exchange, first, second);
    first.sent.clear();
    second.sent.clear();
    exchange.update(ONE);
    Entry silent = chosen();
    clock.advance(LONG_SILENCE_MILLIS);
    exchange.update(ONE);
    silent.sent.clear();
    Entry next = chosen();
    assertNotEquals(silent, next);
    clock.advance(LONG_SILENCE_MILLIS);
    exchange.update(ONE);
    next.sent.clear();
    assertEquals(LoadPermits.Mode.SELF_PACED, exchange.permits().mode());
    clock.advance(SUSPENSION_MILLIS);
    exchange.update(ONE);
    assertEquals(silent, chosen());
  }

  @Test
  void drainingCoordinatorIsReplaced() {
    connectAll(exchange, first, second);
    first.sent.clear();
    second.sent.clear();
    exchange.update(ONE);
    Entry draining = chosen();
    draining.sent.clear();
    exchange.entryLeaving(draining);
    assertEquals(List.of(new Message.LoadPermitRequest(0, 0, 0, 0, 0, 0)), draining.sent);
    draining.sent.clear();
    exchange.update(ONE);
    assertNotEquals(draining, chosen());
  }

  /** Guards against permits of an entry that coordinates no more. */
  @Test
  void responseOfFormerCoordinatorIsIgnored() {
    connectAll(exchange, first, second);
    first.sent.clear();
    second.sent.clear();
    exchange.update(ONE);
    Entry former = chosen();
    exchange.entryLeaving(former);
    exchange.received(former, new Message.LoadPermitResponse(1, false, 3, 0, 24));
    assertEquals(LoadPermits.Mode.PACED, exchange.permits().mode());
  }

  private static void connectAll(LoadPermitExchange to, Entry... entries) {
    for (Entry entry : entries) {
      to.entryConnected(entry);
    }
  }

  /** Returns the only entry that was sent a request. */
  private Entry chosen() {
    List<Entry> asked =
        List.of(first, second, third).stream().filter(entry -> !entry.sent.isEmpty()).toList();
    assertEquals(1, asked.size());
    assertTrue(asked.getFirst().sent.getLast() instanceof Message.LoadPermitRequest);
    return asked.getFirst();
  }

  private static final class Entry implements WireConnection {

    private final String instance;
    private final List<Message> sent = new ArrayList<>();

    Entry(String instance) {
      this.instance = instance;
    }

    @Override
    public boolean send(Message message) {
      return sent.add(message);
    }

    @Override
    public Message.Hello peer() {
      return new Message.Hello(1, 1, "entry", instance, 0, "z", "", "");
    }

    @Override
    public boolean isOpen() {
      return true;
    }

    @Override
    public boolean receivingLargeMessage() {
      return false;
    }

    @Override
    public void close() {}
  }
}

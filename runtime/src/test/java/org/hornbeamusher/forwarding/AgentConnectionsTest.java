package org.hornbeamusher.forwarding;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.OptionalInt;
import org.hornbeamusher.failure.FailureType;
import org.hornbeamusher.failure.HornbeamusherException;
import org.hornbeamusher.loop.SimulatedLoop;
import org.hornbeamusher.quota.QuotaSettings;
import org.hornbeamusher.routing.RendezvousHash;
import org.hornbeamusher.wire.Message;
import org.hornbeamusher.wire.WireConnection;
import org.hornbeamusher.wire.WireListener;
import org.hornbeamusher.wire.WireService;
import org.hornbeamusher.wire.WireTransport;
import org.junit.jupiter.api.Test;

class AgentConnectionsTest {

  private static final InetSocketAddress ENGINE = new InetSocketAddress("127.0.0.1", 1);
  private static final InetSocketAddress OTHER = new InetSocketAddress("127.0.0.1", 2);
  private static final long KEPT_MILLIS = 10_000;

  private final SimulatedLoop loop = new SimulatedLoop();
  private final List<InetSocketAddress> stopped = new ArrayList<>();
  private final WireConnection connection = new SilentConnection();
  private WireListener opened;
  private final AgentConnections agents =
      new AgentConnections(
          new HashMap<>(),
          new Message.Hello(1, 1, "entry", "e", 0, "z", "", ""),
          new RecordingTransport(),
          loop,
          loop.clock());

  /** Guards against closing a connection early if no list has changed for a long time. */
  @Test
  void connectionIsKeptForTheRetentionTimeAfterTheEngineIsUnlisted() {
    agents.connect(List.of(ENGINE, OTHER));
    loop.runUntil(10 * KEPT_MILLIS);
    agents.connect(List.of(OTHER));
    assertEquals(List.of(), stopped);
    loop.runUntil(11 * KEPT_MILLIS - 1);
    agents.connect(List.of(OTHER));
    assertEquals(List.of(), stopped);
    loop.runUntil(11 * KEPT_MILLIS);
    agents.connect(List.of(OTHER));
    assertEquals(List.of(ENGINE), stopped);
  }

  /** Guards against adding up separate absences of an engine from the list. */
  @Test
  void connectionIsKeptIfTheEngineIsListedAgain() {
    agents.connect(List.of(ENGINE));
    agents.connect(List.of());
    loop.runUntil(KEPT_MILLIS - 1);
    agents.connect(List.of(ENGINE));
    loop.runUntil(2 * KEPT_MILLIS);
    agents.connect(List.of());
    assertEquals(List.of(), stopped);
  }

  /** Guards against an entry that uses the shares of all entries when it loses its agents. */
  @Test
  void entryCountIsKeptWhenAllAgentsAreLost() {
    assertEquals(OptionalInt.empty(), agents.knownEntries());
    assertEquals(QuotaSettings.DEFAULT.assumedEntries(), agents.entries());
    agents.connect(List.of(ENGINE));
    opened.received(connection, new Message.Holdings("", List.of(), List.of(), 5, false, 0));
    loop.runUntil(1);
    assertEquals(5, agents.entries());
    opened.closed(connection, HornbeamusherException.notRun(FailureType.CONNECTION_CLOSED, "test"));
    loop.runUntil(10 * KEPT_MILLIS);
    assertEquals(OptionalInt.of(5), agents.knownEntries());
    assertEquals(5, agents.entries());
  }

  /**
   * Guards against entries that look for the origin of a stream at other agents than its writer.
   */
  @Test
  void chosenAgentsAreThoseOfTheGreatestWeights() {
    List<InetSocketAddress> all = new ArrayList<>();
    for (int port = 1; port <= 40; port++) {
      all.add(new InetSocketAddress("127.0.0.1", port));
      agents.connect(all);
      opened.opened(connection, new Message.Hello(1, 1, "agent", "a" + port, 0, "z", "", ""));
    }
    loop.runUntil(1);
    for (int i = 0; i < 500; i++) {
      String key = "request-" + i;
      List<InetSocketAddress> expected =
          all.stream()
              .sorted(
                  Comparator.<InetSocketAddress, Long>comparing(
                          address -> weight(key, address), Long::compareUnsigned)
                      .reversed())
              .toList();
      assertEquals(expected.subList(0, 1), agents.choose(key, 1));
      assertEquals(expected.subList(0, 2), agents.choose(key, 2));
      assertEquals(expected, agents.choose(key, 100));
    }
  }

  private static long weight(String key, InetSocketAddress address) {
    return RendezvousHash.weight(RendezvousHash.hash(key), RendezvousHash.hash(address.toString()));
  }

  private final class RecordingTransport implements WireTransport {

    @Override
    public WireService listen(InetSocketAddress at, Message.Hello own, WireListener listener) {
      throw new AssertionError("entries accept nothing");
    }

    @Override
    public WireService connect(InetSocketAddress at, Message.Hello own, WireListener listener) {
      opened = listener;
      return new WireService() {
        @Override
        public void start() {}

        @Override
        public void stop() {
          stopped.add(at);
        }
      };
    }
  }

  /** Accepts every message and receives none. */
  private static final class SilentConnection implements WireConnection {

    @Override
    public boolean send(Message message) {
      return true;
    }

    @Override
    public Message.Hello peer() {
      return new Message.Hello(1, 1, "agent", "a", 0, "z", "", "");
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

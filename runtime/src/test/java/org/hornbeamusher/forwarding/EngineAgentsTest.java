package org.hornbeamusher.forwarding;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import org.hornbeamusher.loop.SimulatedLoop;
import org.hornbeamusher.wire.Message;
import org.hornbeamusher.wire.WireListener;
import org.hornbeamusher.wire.WireService;
import org.hornbeamusher.wire.WireTransport;
import org.junit.jupiter.api.Test;

class EngineAgentsTest {

  private static final InetSocketAddress ENGINE = new InetSocketAddress("127.0.0.1", 1);
  private static final InetSocketAddress OTHER = new InetSocketAddress("127.0.0.1", 2);
  private static final long KEPT_MILLIS = 10_000;

  private final SimulatedLoop loop = new SimulatedLoop();
  private final List<InetSocketAddress> stopped = new ArrayList<>();
  private final EngineAgents agents =
      new EngineAgents(
          new HashMap<>(),
          new Message.Hello(1, 1, "entry", "e", 0, "z", "", ""),
          new Connections(),
          loop,
          loop.clock());

  /** Guards against an agent that is dropped at once because no list has changed for long. */
  @Test
  void agentIsKeptFromTheMomentAtWhichItsEngineIsNotListedAnyMore() {
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

  /** Guards against absences of an engine that are added up. */
  @Test
  void agentOfAnEngineThatIsListedAgainIsKept() {
    agents.connect(List.of(ENGINE));
    agents.connect(List.of());
    loop.runUntil(KEPT_MILLIS - 1);
    agents.connect(List.of(ENGINE));
    loop.runUntil(2 * KEPT_MILLIS);
    agents.connect(List.of());
    assertEquals(List.of(), stopped);
  }

  private final class Connections implements WireTransport {

    @Override
    public WireService listen(InetSocketAddress at, Message.Hello own, WireListener listener) {
      throw new AssertionError("entries accept nothing");
    }

    @Override
    public WireService connect(InetSocketAddress at, Message.Hello own, WireListener listener) {
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
}

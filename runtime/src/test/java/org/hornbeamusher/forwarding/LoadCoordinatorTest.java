package org.hornbeamusher.forwarding;

import static org.junit.jupiter.api.Assertions.assertEquals;

import com.codahale.metrics.MetricRegistry;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import org.hornbeamusher.loop.SimulatedLoop;
import org.hornbeamusher.wire.Message;
import org.junit.jupiter.api.Test;

class LoadCoordinatorTest {

  private static final InetSocketAddress AGENT = new InetSocketAddress("127.0.0.1", 1);
  private static final InetSocketAddress OTHER = new InetSocketAddress("127.0.0.1", 2);
  private static final long CALM_MILLIS = 2_000;

  private final SimulatedLoop loop = new SimulatedLoop();
  private final List<Message> sent = new ArrayList<>();
  private final LoadCoordinator coordinator =
      new LoadCoordinator(
          (agent, message) -> sent.add(message),
          new ForwardMetrics(new MetricRegistry()),
          loop,
          loop.clock());

  @Test
  void permitIsGrantedToTheAgentThatRequestsIt() {
    coordinator.received(AGENT, new Message.LoadPermitRequest(1, 1, 1, 0, 0, 0));
    loop.runUntil(1);
    assertEquals(List.of(new Message.LoadPermitResponse(1, true, 1, 0, 24)), sent);
  }

  /** Guards against messages from each entry to each agent. */
  @Test
  void nothingIsSentToAgentsThatHaveChosenAnotherEntry() {
    coordinator.loadsReported(AGENT, 3);
    coordinator.received(AGENT, new Message.LoadPermitRequest(1, 0, 0, 0, 0, 0));
    coordinator.received(AGENT, new Message.LoadPermitRequest(0, 0, 0, 0, 0, 0));
    coordinator.loadsReported(OTHER, 40);
    loop.runUntil(CALM_MILLIS);
    assertEquals(List.of(), sent);
    assertEquals(43, coordinator.loadsInProgress());
  }

  /** Guards against agents that go on to wait for permits after the store is idle again. */
  @Test
  void agentIsToldWhenLoadsNeedNoPermitsAnyMore() {
    coordinator.received(AGENT, new Message.LoadPermitRequest(1, 0, 0, 0, 0, 0));
    loop.runUntil(CALM_MILLIS);
    assertEquals(new Message.LoadPermitResponse(1, false, 0, 0, 24), sent.getLast());
  }
}

package org.hornbeamusher.agent;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.atomic.AtomicInteger;
import org.hornbeamusher.clock.SystemClock;
import org.hornbeamusher.failure.HornbeamusherException;
import org.hornbeamusher.ids.AvailabilityZone;
import org.hornbeamusher.ids.EndpointId;
import org.hornbeamusher.ids.PartnerId;
import org.hornbeamusher.ids.PoolName;
import org.hornbeamusher.pacing.PermitHolderChoice;
import org.hornbeamusher.pacing.PermitSettings;
import org.hornbeamusher.table.Instance;
import org.hornbeamusher.wire.Message;
import org.hornbeamusher.wire.WireConnection;
import org.hornbeamusher.wire.WireListener;
import org.hornbeamusher.wire.WireServer;
import org.hornbeamusher.wire.WireSettings;
import org.hornbeamusher.wire.WireSockets;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/** Permits among three agents on loopback that request loads continuously. */
class PermitExchangeTest {

  private static final PermitSettings FAST = new PermitSettings(5, 1, 60_000, 60_000, Map.of());
  private static final long TIMEOUT_MILLIS = 15_000;

  private final List<Agent> agents = new ArrayList<>();
  private final AtomicInteger loading = new AtomicInteger();
  private final AtomicInteger maxConcurrentLoads = new AtomicInteger();

  private final class Agent implements WireListener {

    final EndpointId id;
    final WireServer server;
    final PermitExchange exchange;
    int permits;
    boolean requested;

    Agent(String name) {
      id = new EndpointId(name);
      Message.Hello hello = new Message.Hello(1, 1, "agent", name, 7, "sahab", name, "lm-dispatch");
      server =
          new WireServer(
              new InetSocketAddress(InetAddress.getLoopbackAddress(), 0),
              hello,
              this,
              WireSettings.DEFAULT,
              new WireSockets.Plain(),
              SystemClock.INSTANCE);
      server.start();
      exchange =
          new PermitExchange(
              new PermitExchange.Setup(
                  id, "weights", FAST, hello, WireSettings.DEFAULT, new WireSockets.Plain()),
              () -> CompletableFuture.completedFuture(listed()),
              this::granted,
              SystemClock.INSTANCE);
    }

    private synchronized void granted() {
      requested = false;
      permits++;
      maxConcurrentLoads.accumulateAndGet(loading.incrementAndGet(), Math::max);
    }

    /** Ends a load that is in progress and requests the next permit. */
    synchronized void step() {
      exchange.tick();
      if (!requested) {
        if (permits > 0) {
          loading.decrementAndGet();
          exchange.permits().release();
        }
        requested = true;
        exchange.permits().request(new PartnerId("zarqa"), 1);
      }
    }

    @Override
    public void opened(WireConnection connection, Message.Hello peer) {}

    @Override
    public void received(WireConnection connection, Message message) {
      exchange.messageReceived(connection, message);
    }

    @Override
    public void closed(WireConnection connection, HornbeamusherException reason) {
      exchange.connectionClosed(connection);
    }
  }

  private List<Instance> listed() {
    return agents.stream()
        .map(
            agent ->
                new Instance(
                    agent.id.value(),
                    "127.0.0.1",
                    agent.server.boundAddress().getPort(),
                    Instance.Role.AGENT,
                    new AvailabilityZone("sahab"),
                    new PoolName("lm-dispatch"),
                    false))
        .toList();
  }

  @AfterEach
  void stop() {
    agents.forEach(
        agent -> {
          agent.exchange.stop();
          agent.server.stop();
        });
  }

  private Agent holder() {
    EndpointId id =
        PermitHolderChoice.holder("weights", agents.stream().map(agent -> agent.id).toList())
            .orElseThrow();
    return agents.stream().filter(agent -> agent.id.equals(id)).findFirst().orElseThrow();
  }

  private void runUntilEachHas(int permits, List<Agent> which) throws InterruptedException {
    long end = System.nanoTime() + TIMEOUT_MILLIS * 1_000_000;
    while (which.stream().anyMatch(agent -> agent.permits < permits)) {
      assertTrue(System.nanoTime() < end, "permits " + which.stream().map(a -> a.permits).toList());
      which.forEach(Agent::step);
      Thread.sleep(2);
    }
  }

  /**
   * Guards against concurrent loads of all agents, each of which would take three times as long:
   * the holder must grant one permit at a time. It also guards against agents that wait forever
   * after the holder was killed, while their callers are refused: they must continue with local
   * pacing.
   */
  @Test
  void loadsOverlapOnlyAfterHolderIsGone() throws InterruptedException {
    for (int i = 0; i < 3; i++) {
      agents.add(new Agent("lm-dispatch-" + i));
    }
    runUntilEachHas(5, agents);
    assertEquals(1, maxConcurrentLoads.get());
    Agent gone = holder();
    gone.server.stop();
    gone.exchange.stop();
    List<Agent> rest = agents.stream().filter(agent -> agent != gone).toList();
    int before = rest.stream().mapToInt(agent -> agent.permits).max().orElseThrow();
    runUntilEachHas(before + 3, rest);
  }
}

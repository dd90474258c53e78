package org.hornbeamusher.wire;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;

import java.net.InetSocketAddress;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.hornbeamusher.clock.SystemClock;
import org.hornbeamusher.failure.FailureType;
import org.hornbeamusher.failure.HornbeamusherException;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

class SilentConnectionTest {

  private static final WireSettings FAST = new WireSettings(50, 500, 1_000, 1_024);
  private static final long LIMIT_SECONDS = 30;

  private final Ends entrySide = new Ends();
  private final Ends agentSide = new Ends();
  private WireServer agent;
  private LosingRelay relay;
  private WireConnector entry;

  @BeforeEach
  void start() {
    InetSocketAddress any = new InetSocketAddress("127.0.0.1", 0);
    WireSockets plain = new WireSockets.Plain();
    agent = new WireServer(any, hello("agent", 1), agentSide, FAST, plain, SystemClock.INSTANCE);
    agent.start();
    relay = new LosingRelay(agent.boundAddress());
    relay.start();
    entry =
        new WireConnector(
            relay.address(), hello("entry", 2), entrySide, FAST, plain, SystemClock.INSTANCE);
    entry.start();
  }

  @AfterEach
  void stop() {
    entry.stop();
    agent.stop();
    relay.stop();
  }

  /**
   * Something between entry and agent loses track of their connection: what either sends is
   * swallowed and neither is told, while new connections work. Requests sent there would wait for
   * good. Both ends must give the connection up by themselves, and the entry must open a new one on
   * which messages arrive.
   */
  @Test
  void connectionsThatGoSilentAreReplaced() throws InterruptedException {
    final WireConnection first = entrySide.opened.poll(LIMIT_SECONDS, TimeUnit.SECONDS);
    agentSide.opened.poll(LIMIT_SECONDS, TimeUnit.SECONDS);

    relay.loseOpenConnections();

    assertEquals(
        FailureType.CONNECTION_SILENT,
        entrySide.closed.poll(LIMIT_SECONDS, TimeUnit.SECONDS).type());
    assertEquals(
        FailureType.CONNECTION_SILENT,
        agentSide.closed.poll(LIMIT_SECONDS, TimeUnit.SECONDS).type());
    WireConnection second = entrySide.opened.poll(LIMIT_SECONDS, TimeUnit.SECONDS);
    assertNotEquals(first, second);
    second.send(new Message.Cancel(7));
    assertEquals(new Message.Cancel(7), agentSide.received.poll(LIMIT_SECONDS, TimeUnit.SECONDS));
  }

  /** An agent says nothing for a long time because it has nothing to say; heartbeats keep it. */
  @Test
  void idleConnectionsAreKept() throws InterruptedException {
    WireConnection first = entrySide.opened.poll(LIMIT_SECONDS, TimeUnit.SECONDS);
    int heard = agentSide.heartbeats();
    while (agentSide.heartbeats() < heard + 30) {
      Thread.sleep(FAST.heartbeatMillis());
    }
    first.send(new Message.Cancel(8));
    assertEquals(new Message.Cancel(8), agentSide.received.poll(LIMIT_SECONDS, TimeUnit.SECONDS));
  }

  private static Message.Hello hello(String role, long incarnation) {
    return new Message.Hello(1, 1, role, role + "-1", incarnation, "marka", "e-1", "pool");
  }

  private static final class Ends implements WireListener {

    final BlockingQueue<WireConnection> opened = new LinkedBlockingQueue<>();
    final BlockingQueue<Message> received = new LinkedBlockingQueue<>();
    final BlockingQueue<HornbeamusherException> closed = new LinkedBlockingQueue<>();
    private int heartbeats;

    synchronized int heartbeats() {
      return heartbeats;
    }

    @Override
    public void opened(WireConnection connection, Message.Hello peer) {
      opened.add(connection);
    }

    @Override
    public void received(WireConnection connection, Message message) {
      received.add(message);
    }

    @Override
    public void closed(WireConnection connection, HornbeamusherException reason) {
      closed.add(reason);
    }

    @Override
    public synchronized void heartbeat(WireConnection connection, long digest) {
      heartbeats++;
    }
  }
}

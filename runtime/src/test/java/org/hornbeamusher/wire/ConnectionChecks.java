package org.hornbeamusher.wire;

import static java.nio.charset.StandardCharsets.US_ASCII;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.hornbeamusher.failure.FailureType;
import org.hornbeamusher.failure.HornbeamusherException;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** What holds for the connections of every transport. */
abstract class ConnectionChecks {

  static final WireSettings FAST = new WireSettings(50, 500, 1_000, 1_024);
  private static final long LIMIT_SECONDS = 30;
  private static final int MANY = 400;

  /** Takes three times as long over the slow link as a connection may be silent. */
  private static final int LARGE_BYTES = 600 * 1024;

  private static final int LARGEST_BYTES = FrameStream.MAX_FRAME_BYTES - 1_024;
  private static final long STUCK_SECONDS = 5;

  private final Ends entrySide = new Ends();
  private final Ends agentSide = new Ends();
  private WireService agent;
  private LosingRelay relay;
  private WireService entry;

  /** Makes the transport under test. */
  abstract WireTransport transport() throws IOException;

  /** Returns where a service that was made by {@link #transport} and started listens. */
  abstract InetSocketAddress boundAddress(WireService listening);

  @BeforeEach
  void start() throws IOException {
    InetSocketAddress any = new InetSocketAddress("127.0.0.1", 0);
    WireTransport transport = transport();
    agent = transport.listen(any, hello("agent", 1), agentSide);
    agent.start();
    relay = new LosingRelay(boundAddress(agent));
    relay.start();
    entry = transport.connect(relay.address(), hello("entry", 2), entrySide);
    entry.start();
  }

  @AfterEach
  void stop() {
    entry.stop();
    agent.stop();
    relay.stop();
    end();
  }

  /** Ends what the transport under test runs on; called last. */
  void end() {}

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
      Thread.sleep(FAST.heartbeatIntervalMillis());
    }
    first.send(new Message.Cancel(8));
    assertEquals(new Message.Cancel(8), agentSide.received.poll(LIMIT_SECONDS, TimeUnit.SECONDS));
  }

  /** A connection is refused for a while, as by a process that is starting, and opened then. */
  @Test
  void connectionIsOpenedWhenThePeerListensAgain() throws Exception {
    final WireConnection first = entrySide.opened.poll(LIMIT_SECONDS, TimeUnit.SECONDS);
    InetSocketAddress same = boundAddress(agent);
    agent.stop();
    entrySide.closed.poll(LIMIT_SECONDS, TimeUnit.SECONDS);
    agent = transport().listen(same, hello("agent", 3), agentSide);
    agent.start();
    WireConnection second = entrySide.opened.poll(LIMIT_SECONDS, TimeUnit.SECONDS);
    assertNotEquals(first, second);
    assertEquals(3, second.peer().incarnation());
  }

  /** Many messages are sent at once; all arrive, in order, and none is joined to another. */
  @Test
  void messagesArriveInOrder() throws InterruptedException {
    WireConnection connection = entrySide.opened.poll(LIMIT_SECONDS, TimeUnit.SECONDS);
    agentSide.opened.poll(LIMIT_SECONDS, TimeUnit.SECONDS);
    for (int i = 0; i < MANY; i++) {
      assertTrue(connection.send(new Message.DocumentPush("s" + i, new byte[i % 3_000])));
    }
    for (int i = 0; i < MANY; i++) {
      Message.DocumentPush push =
          (Message.DocumentPush) agentSide.received.poll(LIMIT_SECONDS, TimeUnit.SECONDS);
      assertEquals("s" + i, push.service());
      assertEquals(i % 3_000, push.content().length);
    }
  }

  /** Guards against a message that is taken for silence because it takes long to arrive. */
  @Test
  void largeMessageOverSlowLinkKeepsItsConnection() throws InterruptedException {
    WireConnection connection = entrySide.opened.poll(LIMIT_SECONDS, TimeUnit.SECONDS);
    agentSide.opened.poll(LIMIT_SECONDS, TimeUnit.SECONDS);
    relay.slowDown(10);
    connection.send(new Message.DocumentPush("s", new byte[LARGE_BYTES]));
    assertEquals(LARGE_BYTES, ((Message.DocumentPush) received()).content().length);
    assertTrue(connection.isOpen());
    assertEquals(0, entrySide.closed.size() + agentSide.closed.size());
  }

  /** Guards against a message that may be sent and is larger than what may wait to be sent. */
  @Test
  void largestMessageArrives() throws InterruptedException {
    WireConnection connection = entrySide.opened.poll(LIMIT_SECONDS, TimeUnit.SECONDS);
    agentSide.opened.poll(LIMIT_SECONDS, TimeUnit.SECONDS);
    connection.send(new Message.DocumentPush("s", new byte[LARGEST_BYTES]));
    assertEquals(LARGEST_BYTES, ((Message.DocumentPush) received()).content().length);
  }

  /** Guards against an end that is stuck in writing to a connection that went silent. */
  @Test
  void connectionThatGoesSilentInLargeMessageIsReplaced() throws InterruptedException {
    WireConnection first = entrySide.opened.poll(LIMIT_SECONDS, TimeUnit.SECONDS);
    agentSide.opened.poll(LIMIT_SECONDS, TimeUnit.SECONDS);
    relay.stopReading();
    first.send(new Message.DocumentPush("s", new byte[LARGEST_BYTES]));
    assertNotNull(entrySide.closed.poll(STUCK_SECONDS, TimeUnit.SECONDS), "stuck");
    assertNotEquals(first, entrySide.opened.poll(LIMIT_SECONDS, TimeUnit.SECONDS));
  }

  private Message received() throws InterruptedException {
    return agentSide.received.poll(LIMIT_SECONDS, TimeUnit.SECONDS);
  }

  /** What speaks no protocol of ours costs its own connection and no other. */
  @Test
  void garbageEndsItsOwnConnectionOnly() throws Exception {
    final WireConnection kept = entrySide.opened.poll(LIMIT_SECONDS, TimeUnit.SECONDS);
    InetSocketAddress at = boundAddress(agent);
    try (Socket stranger = new Socket(at.getAddress(), at.getPort())) {
      stranger.getOutputStream().write("GET / HTTP/1.1\r\n\r\n".getBytes(US_ASCII));
      assertEquals(
          FailureType.FRAME_TOO_LONG,
          agentSide.closed.poll(LIMIT_SECONDS, TimeUnit.SECONDS).type());
    }
    kept.send(new Message.Cancel(9));
    assertEquals(new Message.Cancel(9), agentSide.received.poll(LIMIT_SECONDS, TimeUnit.SECONDS));
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
    public synchronized void heartbeatReceived(WireConnection connection, long digest) {
      heartbeats++;
    }
  }
}

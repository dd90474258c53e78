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

/** Tests that the connections of every transport must pass. */
abstract class ConnectionContract {

  static final WireSettings FAST = new WireSettings(50, 500, 1_000, 1_024);
  private static final long TIMEOUT_SECONDS = 30;
  private static final int MESSAGE_COUNT = 400;

  /** Takes three times the heartbeat timeout over the slow link. */
  private static final int LARGE_BYTES = 600 * 1024;

  private static final int MAX_CONTENT_BYTES = FrameStream.MAX_FRAME_BYTES - 1_024;
  private static final long CLOSE_TIMEOUT_SECONDS = 5;

  private final RecordingListener entryListener = new RecordingListener();
  private final RecordingListener agentListener = new RecordingListener();
  private WireService agent;
  private FaultyRelay relay;
  private WireService entry;

  /** Creates the transport under test. */
  abstract WireTransport transport() throws IOException;

  /** Returns the address of a started service that was created by {@link #transport}. */
  abstract InetSocketAddress boundAddress(WireService listening);

  @BeforeEach
  void start() throws IOException {
    InetSocketAddress any = new InetSocketAddress("127.0.0.1", 0);
    WireTransport transport = transport();
    agent = transport.listen(any, hello("agent", 1), agentListener);
    agent.start();
    relay = new FaultyRelay(boundAddress(agent));
    relay.start();
    entry = transport.connect(relay.address(), hello("entry", 2), entryListener);
    entry.start();
  }

  @AfterEach
  void stop() {
    entry.stop();
    agent.stop();
    relay.stop();
    closeTransport();
  }

  /** Stops the threads of the transport under test; called last. */
  void closeTransport() {}

  /**
   * Guards against requests that wait forever on a dead connection. A network device between entry
   * and agent drops its state of the connection: everything sent is discarded without notifying
   * either peer, while new connections work. Both peers must close the connection, and the entry
   * must open a new one on which messages arrive.
   */
  @Test
  void silentConnectionsAreReplaced() throws InterruptedException {
    final WireConnection first = entryListener.opened.poll(TIMEOUT_SECONDS, TimeUnit.SECONDS);
    agentListener.opened.poll(TIMEOUT_SECONDS, TimeUnit.SECONDS);

    relay.discardOnOpenConnections();

    assertEquals(
        FailureType.CONNECTION_SILENT,
        entryListener.closed.poll(TIMEOUT_SECONDS, TimeUnit.SECONDS).type());
    assertEquals(
        FailureType.CONNECTION_SILENT,
        agentListener.closed.poll(TIMEOUT_SECONDS, TimeUnit.SECONDS).type());
    WireConnection second = entryListener.opened.poll(TIMEOUT_SECONDS, TimeUnit.SECONDS);
    assertNotEquals(first, second);
    second.send(new Message.Cancel(7));
    assertEquals(
        new Message.Cancel(7), agentListener.received.poll(TIMEOUT_SECONDS, TimeUnit.SECONDS));
  }

  /** Guards against closing an idle connection: heartbeats keep it open. */
  @Test
  void idleConnectionsAreKept() throws InterruptedException {
    WireConnection first = entryListener.opened.poll(TIMEOUT_SECONDS, TimeUnit.SECONDS);
    int before = agentListener.heartbeats();
    while (agentListener.heartbeats() < before + 30) {
      Thread.sleep(FAST.heartbeatIntervalMillis());
    }
    first.send(new Message.Cancel(8));
    assertEquals(
        new Message.Cancel(8), agentListener.received.poll(TIMEOUT_SECONDS, TimeUnit.SECONDS));
  }

  /**
   * The peer refuses connections for a while, like a process that is restarting, and then accepts
   * them.
   */
  @Test
  void connectionIsOpenedWhenThePeerListensAgain() throws Exception {
    final WireConnection first = entryListener.opened.poll(TIMEOUT_SECONDS, TimeUnit.SECONDS);
    InetSocketAddress same = boundAddress(agent);
    agent.stop();
    entryListener.closed.poll(TIMEOUT_SECONDS, TimeUnit.SECONDS);
    agent = transport().listen(same, hello("agent", 3), agentListener);
    agent.start();
    WireConnection second = entryListener.opened.poll(TIMEOUT_SECONDS, TimeUnit.SECONDS);
    assertNotEquals(first, second);
    assertEquals(3, second.peer().incarnation());
  }

  /** Guards against lost, reordered or merged messages when many are sent at once. */
  @Test
  void messagesArriveInOrder() throws InterruptedException {
    WireConnection connection = entryListener.opened.poll(TIMEOUT_SECONDS, TimeUnit.SECONDS);
    agentListener.opened.poll(TIMEOUT_SECONDS, TimeUnit.SECONDS);
    for (int i = 0; i < MESSAGE_COUNT; i++) {
      assertTrue(connection.send(new Message.DocumentPush("s" + i, new byte[i % 3_000])));
    }
    for (int i = 0; i < MESSAGE_COUNT; i++) {
      Message.DocumentPush push =
          (Message.DocumentPush) agentListener.received.poll(TIMEOUT_SECONDS, TimeUnit.SECONDS);
      assertEquals("s" + i, push.service());
      assertEquals(i % 3_000, push.content().length);
    }
  }

  /** Guards against a heartbeat timeout while a large message is being received. */
  @Test
  void largeMessageOverSlowLinkIsNoHeartbeatTimeout() throws InterruptedException {
    WireConnection connection = entryListener.opened.poll(TIMEOUT_SECONDS, TimeUnit.SECONDS);
    agentListener.opened.poll(TIMEOUT_SECONDS, TimeUnit.SECONDS);
    relay.slowDown(10);
    connection.send(new Message.DocumentPush("s", new byte[LARGE_BYTES]));
    assertEquals(LARGE_BYTES, ((Message.DocumentPush) received()).content().length);
    assertTrue(connection.isOpen());
    assertEquals(0, entryListener.closed.size() + agentListener.closed.size());
  }

  /** Guards against a limit on unsent bytes that rejects a message of the maximum size. */
  @Test
  void largestMessageArrives() throws InterruptedException {
    WireConnection connection = entryListener.opened.poll(TIMEOUT_SECONDS, TimeUnit.SECONDS);
    agentListener.opened.poll(TIMEOUT_SECONDS, TimeUnit.SECONDS);
    connection.send(new Message.DocumentPush("s", new byte[MAX_CONTENT_BYTES]));
    assertEquals(MAX_CONTENT_BYTES, ((Message.DocumentPush) received()).content().length);
  }

  /** Guards against a peer that is blocked in writing to a connection that has become silent. */
  @Test
  void connectionSilentDuringLargeMessageIsReplaced() throws InterruptedException {
    WireConnection first = entryListener.opened.poll(TIMEOUT_SECONDS, TimeUnit.SECONDS);
    agentListener.opened.poll(TIMEOUT_SECONDS, TimeUnit.SECONDS);
    relay.stopReading();
    first.send(new Message.DocumentPush("s", new byte[MAX_CONTENT_BYTES]));
    assertNotNull(
        entryListener.closed.poll(CLOSE_TIMEOUT_SECONDS, TimeUnit.SECONDS),
        "connection was not closed within the time limit");
    assertNotEquals(first, entryListener.opened.poll(TIMEOUT_SECONDS, TimeUnit.SECONDS));
  }

  private Message received() throws InterruptedException {
    return agentListener.received.poll(TIMEOUT_SECONDS, TimeUnit.SECONDS);
  }

  /** Guards against malformed input that closes other connections than its own. */
  @Test
  void malformedInputClosesOnlyItsConnection() throws Exception {
    final WireConnection kept = entryListener.opened.poll(TIMEOUT_SECONDS, TimeUnit.SECONDS);
    InetSocketAddress at = boundAddress(agent);
    try (Socket foreign = new Socket(at.getAddress(), at.getPort())) {
      foreign.getOutputStream().write("GET / HTTP/1.1\r\n\r\n".getBytes(US_ASCII));
      assertEquals(
          FailureType.FRAME_TOO_LONG,
          agentListener.closed.poll(TIMEOUT_SECONDS, TimeUnit.SECONDS).type());
    }
    kept.send(new Message.Cancel(9));
    assertEquals(
        new Message.Cancel(9), agentListener.received.poll(TIMEOUT_SECONDS, TimeUnit.SECONDS));
  }

  private static Message.Hello hello(String role, long incarnation) {
    return new Message.Hello(1, 1, role, role + "-1", incarnation, "marka", "e-1", "pool");
  }

  private static final class RecordingListener implements WireListener {

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

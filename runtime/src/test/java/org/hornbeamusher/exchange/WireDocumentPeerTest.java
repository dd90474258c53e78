package org.hornbeamusher.exchange;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Map;
import java.util.concurrent.CompletableFuture;
import org.hornbeamusher.ids.ServiceName;
import org.hornbeamusher.wire.Message;
import org.hornbeamusher.wire.WireConnection;
import org.junit.jupiter.api.Test;

class WireDocumentPeerTest {

  private static final long TWO_TIMEOUTS_MILLIS =
      2 * WireDocumentPeer.RESPONSE_TIMEOUT_MILLIS + 500;

  private volatile boolean receiving;

  /** Guards against a timeout while a large response is being received. */
  @Test
  void responseBeingReceivedDoesNotTimeOut() throws InterruptedException {
    receiving = true;
    WireDocumentPeer peer = new WireDocumentPeer(new Connection());
    CompletableFuture<Map<ServiceName, Long>> digest = peer.digest();
    Thread.sleep(TWO_TIMEOUTS_MILLIS);
    assertFalse(digest.isDone());
    peer.digestReceived(Map.of());
    assertEquals(Map.of(), digest.join());
  }

  /** Guards against waiting forever for a response. */
  @Test
  void missingResponseTimesOut() throws InterruptedException {
    WireDocumentPeer peer = new WireDocumentPeer(new Connection());
    CompletableFuture<?> pull = peer.pull(new ServiceName("s"), 0);
    Thread.sleep(TWO_TIMEOUTS_MILLIS);
    assertTrue(pull.isCompletedExceptionally());
  }

  private final class Connection implements WireConnection {

    @Override
    public boolean send(Message message) {
      return true;
    }

    @Override
    public Message.Hello peer() {
      return new Message.Hello(1, 1, "agent", "agent-1", 1, "a", "", "");
    }

    @Override
    public boolean isOpen() {
      return true;
    }

    @Override
    public boolean receivingLargeMessage() {
      return receiving;
    }

    @Override
    public void close() {}
  }
}

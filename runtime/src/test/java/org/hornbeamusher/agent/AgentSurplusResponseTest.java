package org.hornbeamusher.agent;

import static org.junit.jupiter.api.Assertions.assertEquals;

import io.undertow.server.HttpServerExchange;
import io.undertow.server.protocol.http.HttpServerConnection;
import io.undertow.util.AttachmentKey;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.Collections;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

/** Responses of an endpoint that sends more of them than it got requests. */
class AgentSurplusResponseTest {

  private static final AttachmentKey<Boolean> USED = AttachmentKey.create(Boolean.class);
  private static final int REQUESTS = 5;

  private static final String REFUSAL =
      "HTTP/1.1 429 Too Many Requests\r\nContent-Length: 0\r\n\r\n";

  /**
   * Guards against a refusal of an earlier request that is taken for the response to a later one.
   */
  @Test
  void surplusRefusalIsNotTakenForTheNextResponse() throws InterruptedException {
    try (EndpointExecutorFixture agent =
        new EndpointExecutorFixture(AgentSurplusResponseTest::respond)) {
      for (int i = 1; i <= REQUESTS; i++) {
        agent.dispatch(i, "/request-" + i);
        while (agent.ended() < i) {
          TimeUnit.MILLISECONDS.sleep(10);
        }
      }
      List<Integer> served = Collections.nCopies(REQUESTS, 200);
      assertEquals(served, agent.statuses());
    }
  }

  private static void respond(HttpServerExchange exchange) throws IOException {
    HttpServerConnection connection = (HttpServerConnection) exchange.getConnection();
    if (connection.putAttachment(USED, true) != null) {
      ByteBuffer bytes = ByteBuffer.wrap(REFUSAL.getBytes(StandardCharsets.US_ASCII));
      while (bytes.hasRemaining()) {
        connection.getOriginalSinkConduit().write(bytes);
      }
    }
    exchange.getResponseSender().send("served");
  }
}

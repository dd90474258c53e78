package org.hornbeamusher.agent;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;

import io.undertow.server.HttpServerExchange;
import io.undertow.server.protocol.http.HttpServerConnection;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.hornbeamusher.failure.FailureType;
import org.hornbeamusher.wire.Message;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** An endpoint of the product's own interface whose responses are malformed. */
@Timeout(value = 30, threadMode = Timeout.ThreadMode.SEPARATE_THREAD)
class AgentMalformedResponseTest {

  /** More than a head may have. */
  private static final int HEADERS = 300;

  /** Guards against a malformed response that is relayed, or counted as a crash of its endpoint. */
  @ParameterizedTest
  @ValueSource(
      strings = {
        "HTTP/1.1 000 OK\r\n\r\nhello",
        "HTTP/1.1 200 OK\r\nContent-Length: +5\r\n\r\nhello",
        "HTTP/1.1 200 OK\r\nContent Length: 5\r\n\r\nhello",
        "HTTP/1.1 429 No\r\nno header\r\nContent-Length: 0\r\n\r\n"
      })
  void malformedResponseIsNeitherRelayedNorCrash(String response) throws InterruptedException {
    assertRejected(FailureType.RESPONSE_MALFORMED, response);
  }

  /** Guards against a response without end that is counted as a crash of its endpoint. */
  @Test
  void responseWithoutEndIsNoCrash() throws InterruptedException {
    assertRejected(
        FailureType.RESPONSE_UNBOUNDED, "HTTP/1.1 200 OK\r\n" + "a: b\r\n".repeat(HEADERS));
  }

  private static void assertRejected(FailureType type, String response)
      throws InterruptedException {
    try (EndpointExecutorFixture agent =
        new EndpointExecutorFixture(exchange -> write(exchange, response))) {
      agent.dispatch(1, "/x");
      while (agent.ended() < 1) {
        TimeUnit.MILLISECONDS.sleep(10);
      }
      assertEquals(List.of(), agent.statuses());
      Message.Failed failure = agent.failures().get(0);
      assertEquals(type.number(), failure.failureNumber());
      assertEquals("unknown", failure.outcome());
      assertFalse(failure.crashed());
    }
  }

  private static void write(HttpServerExchange exchange, String response) throws IOException {
    HttpServerConnection connection = (HttpServerConnection) exchange.getConnection();
    ByteBuffer bytes = ByteBuffer.wrap(response.getBytes(StandardCharsets.ISO_8859_1));
    while (bytes.hasRemaining()) {
      connection.getOriginalSinkConduit().write(bytes);
    }
    connection.close();
  }
}

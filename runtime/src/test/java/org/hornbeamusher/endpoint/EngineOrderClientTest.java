package org.hornbeamusher.endpoint;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

import io.undertow.Undertow;
import io.undertow.server.HttpServerExchange;
import io.undertow.server.protocol.http.HttpServerConnection;
import io.undertow.util.AttachmentKey;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.URI;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.CompletionException;
import org.hornbeamusher.failure.FailureType;
import org.hornbeamusher.failure.HornbeamusherException;
import org.hornbeamusher.http.HttpClient;
import org.hornbeamusher.ids.AdapterRef;
import org.hornbeamusher.ids.EndpointId;
import org.hornbeamusher.ids.FencingNumber;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Orders to an engine that sends copies of earlier responses. */
class EngineOrderClientTest {

  private static final AttachmentKey<String> EARLIER = AttachmentKey.create(String.class);
  private static final AdapterRef ADAPTER = AdapterRef.parse("m/a@1");
  private static final String STALE = "stale-fencing-number";
  private static final String STATE =
      "{\"incarnation\":\"i\",\"resident\":[],\"running\":0,\"fencing\":2}";

  private final HttpClient http = new HttpClient(1);
  private final Undertow server =
      Undertow.builder()
          .addHttpListener(0, "127.0.0.1")
          .setHandler(EngineOrderClientTest::respond)
          .build();
  private EngineOrderClient client;

  @BeforeEach
  void start() {
    http.start();
    server.start();
    InetSocketAddress bound = (InetSocketAddress) server.getListenerInfo().get(0).getAddress();
    URI uri = URI.create("http://127.0.0.1:" + bound.getPort());
    client = new EngineOrderClient(new EndpointId("e"), uri, http, 1_000);
  }

  @AfterEach
  void stop() {
    http.stop();
    server.stop();
  }

  /** Guards against the copy of a refusal that is taken for the result of a later order. */
  @Test
  void orderIsExecutedBehindTheCopyOfRefusal() {
    assertEquals(FailureType.STALE_FENCING_NUMBER, refusal(1));
    client.load(ADAPTER, "w", new FencingNumber(2)).join();
  }

  /** Guards against the copy of a success that is taken for the result of a refused order. */
  @Test
  void orderIsRefusedBehindTheCopyOfSuccess() {
    client.load(ADAPTER, "w", new FencingNumber(2)).join();
    assertEquals(FailureType.STALE_FENCING_NUMBER, refusal(1));
  }

  /** Guards against the copy of an order's result that is taken for the state of the engine. */
  @Test
  void stateIsReadBehindTheCopyOfRefusal() {
    refusal(1);
    assertEquals(2, client.state().join().fencing());
  }

  private FailureType refusal(long fencing) {
    CompletionException thrown =
        assertThrows(
            CompletionException.class,
            () -> client.load(ADAPTER, "w", new FencingNumber(fencing)).join());
    return HornbeamusherException.from(thrown).type();
  }

  private static void respond(HttpServerExchange exchange) throws IOException {
    exchange
        .getRequestReceiver()
        .receiveFullString(
            (received, order) -> {
              boolean stale = order.contains("\"fencing\":1");
              String body = stale ? STALE : STATE;
              int status = stale ? 409 : 200;
              writeCopy((HttpServerConnection) received.getConnection(), status, body);
              received.setStatusCode(status).getResponseSender().send(body);
            });
  }

  /** Writes the first response of the connection, if this is a later one. */
  private static void writeCopy(HttpServerConnection connection, int status, String body) {
    String own =
        "HTTP/1.1 %d Status\r\nContent-Length: %d\r\n\r\n%s".formatted(status, body.length(), body);
    String earlier = connection.getAttachment(EARLIER);
    if (earlier == null) {
      connection.putAttachment(EARLIER, own);
      return;
    }
    ByteBuffer bytes = ByteBuffer.wrap(earlier.getBytes(StandardCharsets.US_ASCII));
    try {
      while (bytes.hasRemaining()) {
        connection.getOriginalSinkConduit().write(bytes);
      }
    } catch (IOException e) {
      throw new IllegalStateException(e);
    }
  }
}

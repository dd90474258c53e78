package org.hornbeamusher.http;

import static org.junit.jupiter.api.Assertions.assertEquals;

import io.undertow.Undertow;
import io.undertow.UndertowOptions;
import io.undertow.server.HttpServerExchange;
import io.undertow.server.protocol.http.HttpServerConnection;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetSocketAddress;
import java.net.URI;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import org.junit.jupiter.api.Test;

class LargeBodiesTest {

  private static final int REQUESTS = 10;
  private static final int BODY_BYTES = 4 * 1024 * 1024;
  private static final long TIMEOUT_MILLIS = 20_000;

  /** Guards against an endpoint that takes the end of a large body for the end of its caller. */
  @Test
  void connectionStaysOpenAfterLargeBody() {
    List<Integer> nextReads = Collections.synchronizedList(new ArrayList<>());
    Undertow server =
        Undertow.builder()
            .setServerOption(UndertowOptions.MAX_ENTITY_SIZE, (long) BODY_BYTES)
            .setIoThreads(1)
            .addHttpListener(0, "127.0.0.1")
            .setHandler(
                exchange ->
                    exchange
                        .getRequestReceiver()
                        .receiveFullBytes(
                            (received, body) -> {
                              nextReads.add(readOn(received));
                              received.getResponseSender().send("done");
                            }))
            .build();
    server.start();
    HttpClient client = new HttpClient(1);
    client.start();
    try {
      int port = ((InetSocketAddress) server.getListenerInfo().get(0).getAddress()).getPort();
      URI uri = URI.create("http://127.0.0.1:" + port + "/x");
      HttpRequest call = new HttpRequest("POST", uri, Map.of(), new byte[BODY_BYTES]);
      List<CompletableFuture<HttpResponse>> responses = new ArrayList<>();
      for (int i = 0; i < REQUESTS; i++) {
        responses.add(client.send(call, TIMEOUT_MILLIS));
      }
      responses.forEach(response -> assertEquals(200, response.join().status()));
      assertEquals(Collections.nCopies(REQUESTS, 0), nextReads);
      assertEquals(200, client.send(call, TIMEOUT_MILLIS).join().status());
    } finally {
      client.stop();
      server.stop();
    }
  }

  /** Reads below the request, as an entry does to detect a disconnect; returns -1 for the end. */
  private static int readOn(HttpServerExchange exchange) {
    try {
      return ((HttpServerConnection) exchange.getConnection())
          .getOriginalSourceConduit()
          .read(ByteBuffer.allocate(1));
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }
}

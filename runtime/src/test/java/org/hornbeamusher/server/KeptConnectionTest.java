package org.hornbeamusher.server;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.undertow.Undertow;
import io.undertow.server.HttpServerExchange;
import io.undertow.util.SameThreadExecutor;
import java.io.IOException;
import java.lang.ref.WeakReference;
import java.net.InetSocketAddress;
import java.net.URI;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Map;
import java.util.concurrent.atomic.AtomicReference;
import org.hornbeamusher.http.HttpClient;
import org.hornbeamusher.http.HttpRequest;
import org.hornbeamusher.memory.MemoryBudget;
import org.hornbeamusher.memory.MemoryReservation;
import org.junit.jupiter.api.Test;

class KeptConnectionTest {

  private static final int REQUESTS = 200;
  private static final int BODY_BYTES = 18 * 1024;
  private static final long TIMEOUT_MILLIS = 5_000;

  /** The last requests may still be referenced by the connection and by stacks. */
  private static final int MAX_REFERENCED = 10;

  private final MemoryBudget memory = new MemoryBudget(BODY_BYTES * 4L);
  private final AtomicReference<byte[]> closed = new AtomicReference<>();
  private final List<WeakReference<byte[]>> bodies =
      Collections.synchronizedList(new ArrayList<>());

  /** Guards against requests that stay in memory until their caller closes its connection. */
  @Test
  void nothingOfEndedRequestIsKept() throws Exception {
    Undertow server =
        Undertow.builder()
            .addHttpListener(0, "127.0.0.1")
            .setHandler(exchange -> RequestBodyReader.read(exchange, memory, listener(exchange)))
            .build();
    server.start();
    HttpClient client = new HttpClient(1);
    client.start();
    try {
      int port = ((InetSocketAddress) server.getListenerInfo().get(0).getAddress()).getPort();
      URI uri = URI.create("http://127.0.0.1:" + port + "/x");
      for (int i = 0; i < REQUESTS; i++) {
        HttpRequest call = new HttpRequest("POST", uri, Map.of(), new byte[BODY_BYTES]);
        assertEquals(200, client.send(call, TIMEOUT_MILLIS).join().status());
      }
      assertEquals(REQUESTS, bodies.size());
      assertEquals(0, memory.usedBytes());
      assertTrue(referenced() <= MAX_REFERENCED, referenced() + " of " + REQUESTS);
    } finally {
      client.stop();
      server.stop();
    }
  }

  private long referenced() throws InterruptedException {
    System.gc();
    Thread.sleep(100);
    System.gc();
    return bodies.stream().filter(body -> body.get() != null).count();
  }

  private RequestBodyReader.Listener listener(HttpServerExchange exchange) {
    return new RequestBodyReader.Listener() {
      @Override
      public void received(byte[] body, MemoryReservation held) {
        bodies.add(new WeakReference<>(body));
        ConnectionCloseTask.set(exchange.getConnection(), () -> closed.set(body));
        exchange.dispatch(
            SameThreadExecutor.INSTANCE,
            () -> {
              ConnectionCloseTask.clear(exchange.getConnection());
              held.release();
              exchange.endExchange();
            });
      }

      @Override
      public void memoryFull() {
        exchange.setStatusCode(503);
        exchange.endExchange();
      }

      @Override
      public void failed(IOException cause) {
        exchange.endExchange();
      }
    };
  }
}

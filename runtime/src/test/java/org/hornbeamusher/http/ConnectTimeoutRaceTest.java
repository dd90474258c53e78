package org.hornbeamusher.http;

import static org.junit.jupiter.api.Assertions.assertEquals;

import io.undertow.Undertow;
import java.net.InetSocketAddress;
import java.net.URI;
import java.util.HashSet;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.hornbeamusher.failure.HornbeamusherException;
import org.hornbeamusher.failure.Outcome;
import org.junit.jupiter.api.Test;

class ConnectTimeoutRaceTest {

  private static final int EXCHANGES = 4_000;

  /** Guards against reporting an exchange as not sent while another I/O thread sends it. */
  @Test
  void exchangeThatTimedOutWhileItsConnectionOpenedIsNotSent() throws Exception {
    Set<String> arrived = ConcurrentHashMap.newKeySet();
    Set<String> notSent = ConcurrentHashMap.newKeySet();
    Undertow server =
        Undertow.builder()
            .addHttpListener(0, "127.0.0.1")
            .setHandler(
                exchange -> {
                  arrived.add(exchange.getRequestPath());
                  exchange.endExchange();
                })
            .build();
    server.start();
    HttpClient client = new HttpClient(2);
    client.start();
    try {
      int port = ((InetSocketAddress) server.getListenerInfo().get(0).getAddress()).getPort();
      for (int i = 0; i < EXCHANGES; i++) {
        String path = "/" + i;
        CountDownLatch ended = new CountDownLatch(1);
        client.stream(
            HttpRequest.get(URI.create("http://127.0.0.1:" + port + path)),
            new EndListener(path, notSent, ended),
            new ConnectionOptions(0, Integer.MAX_VALUE, false));
        ended.await(5, TimeUnit.SECONDS);
      }
      TimeUnit.MILLISECONDS.sleep(200);
    } finally {
      client.stop();
      server.stop();
    }
    Set<String> both = new HashSet<>(notSent);
    both.retainAll(arrived);
    assertEquals(Set.of(), both, notSent.size() + " not sent, " + arrived.size() + " arrived");
  }

  private record EndListener(String path, Set<String> notSent, CountDownLatch ended)
      implements HttpStreamListener {

    @Override
    public void head(HttpHead head) {}

    @Override
    public void data(byte[] bytes) {}

    @Override
    public boolean mayReuseConnection() {
      return false;
    }

    @Override
    public void end() {
      ended.countDown();
    }

    @Override
    public void failed(Throwable failure) {
      if (HornbeamusherException.from(failure).outcome().equals(Outcome.NOT_RUN)) {
        notSent.add(path);
      }
      ended.countDown();
    }
  }
}

package org.hornbeamusher.standin;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.concurrent.CompletionException;
import org.hornbeamusher.http.HttpClient;
import org.hornbeamusher.http.HttpRequest;
import org.hornbeamusher.http.HttpResponse;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

class PlainServiceStandinTest {

  private static final long TIMEOUT_MILLIS = 20_000;

  private final PlainServiceStandin service = new PlainServiceStandin("haul-api", "127.0.0.1", 0);
  private final HttpClient client = new HttpClient(1);

  @BeforeEach
  void start() {
    service.start();
    client.start();
  }

  @AfterEach
  void stop() {
    client.stop();
    service.stop();
  }

  @Test
  void echoesWhatItWasSent() {
    HttpResponse response = book("k1");
    assertEquals(201, response.status());
    assertEquals(
        "{\"service\":\"haul-api\",\"method\":\"POST\",\"path\":\"/bookings\",\"key\":\"k1\","
            + "\"execution\":1,\"body\":\"load 7\"}",
        new String(response.body(), StandardCharsets.UTF_8));
    HttpRequest get = HttpRequest.get(service.uri().resolve("/loads/7"));
    assertEquals(200, client.send(get, TIMEOUT_MILLIS).join().status());
  }

  /**
   * A booking that is executed twice under its key sends two tankers to one load; it must be
   * counted.
   */
  @Test
  void secondExecutionOfOneKeyIsCounted() {
    book("k1");
    book("k2");
    assertEquals(0, service.counts().repeated());
    book("k1");
    assertEquals(1, service.counts().repeated());
    assertEquals(3, service.counts().executions());
  }

  /** The connection closes after the booking was executed; only the counter shows the execution. */
  @Test
  void callWithClosedConnectionWasExecuted() {
    service.setBehaviour(new PlainServiceStandin.Behaviour(0, 0, 1));
    assertThrows(CompletionException.class, () -> book("k1"));
    assertEquals(Map.of("k1", 1L), service.counts().executionsByKey());
    assertEquals(201, book("k2").status());
  }

  /** The service responds with an error after a delay. */
  @Test
  void requestedFailureIsReturned() {
    service.setBehaviour(new PlainServiceStandin.Behaviour(20, 1, 0));
    assertEquals(500, book("k1").status());
    assertEquals(201, book("k2").status());
  }

  private HttpResponse book(String key) {
    return client
        .send(
            new HttpRequest(
                "POST",
                service.uri().resolve("/bookings"),
                Map.of("Idempotency-Key", key),
                "load 7".getBytes(StandardCharsets.UTF_8)),
            TIMEOUT_MILLIS)
        .join();
  }
}

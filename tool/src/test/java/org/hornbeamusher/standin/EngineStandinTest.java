package org.hornbeamusher.standin;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import org.hornbeamusher.clock.SystemClock;
import org.hornbeamusher.failure.FailureType;
import org.hornbeamusher.failure.HornbeamusherException;
import org.hornbeamusher.http.HttpClient;
import org.hornbeamusher.http.HttpRequest;
import org.hornbeamusher.http.HttpResponse;
import org.hornbeamusher.ids.AdapterRef;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

class EngineStandinTest {

  private static final long TIMEOUT_MILLIS = 20_000;
  private static final String ADAPTER = "lm-dispatch/rosters@2";

  private final WeightStoreStandin store = new WeightStoreStandin(SystemClock.INSTANCE, 20);
  private final EngineStandin engine =
      new EngineStandin(
          EngineSettings.of(0, 2, 4).withTokenMicros(200), store, SystemClock.INSTANCE);
  private final HttpClient client = new HttpClient(1);

  @BeforeEach
  void start() {
    store.start();
    engine.start();
    client.start();
  }

  @AfterEach
  void stop() {
    client.stop();
    engine.stop();
    store.stop();
  }

  @Test
  void streamsOneEventForEachTokenAndTheEnd() {
    load();
    String[] events = complete("draft", 3, true).split("\n\n");
    String head = "data: {\"id\":\"r1\",\"model\":\"lm-dispatch/rosters@2\",";
    assertEquals(5, events.length);
    assertEquals(
        head
            + "\"choices\":[{\"index\":0,\"text\":\"lm-dispatch/rosters@2 \","
            + "\"finish_reason\":null}]}",
        events[0]);
    assertEquals(
        head
            + "\"choices\":[{\"index\":0,\"text\":\"\",\"finish_reason\":\"length\"}],"
            + "\"usage\":{\"prompt_tokens\":2,\"completion_tokens\":3}}",
        events[3]);
    assertEquals("data: [DONE]", events[4]);
  }

  @Test
  void unstreamedResponseIsOneObject() {
    load();
    String text = new ExpectedResponse(AdapterRef.parse(ADAPTER), "draft", 3).text();
    assertEquals(
        "{\"id\":\"r1\",\"model\":\"lm-dispatch/rosters@2\",\"choices\":[{\"index\":0,\"text\":\""
            + text
            + "\",\"finish_reason\":\"length\"}],"
            + "\"usage\":{\"prompt_tokens\":2,\"completion_tokens\":3}}",
        complete("draft", 3, false));
  }

  @Test
  void refusesWithTypes() {
    assertEquals("{\"error\":{\"type\":\"adapter-not-resident\"}}", complete("draft", 3, true));
    assertEquals(400, post("/v1/completions", "not json").status());
    assertEquals(400, post("/v1/completions", "{\"model\":\"no\"}").status());
    assertEquals(404, post("/nothing", "{}").status());
    order("load", 5);
    assertEquals(409, order("unload", 4).status());
  }

  /**
   * The connection is closed in mid-response: the reader must get a failure, not a complete
   * response.
   */
  @Test
  void closedConnectionFailsTheReader() {
    load();
    engine.cutNextAfter(2);
    CompletionException failure =
        assertThrows(CompletionException.class, () -> complete("draft", 5, true));
    assertEquals(FailureType.CONNECTION_CLOSED, HornbeamusherException.from(failure).type());
    String rest = body(post("/v1/resume", "{\"request_id\":\"r1\",\"from\":4}"));
    assertEquals("{\"error\":{\"type\":\"request-not-kept\"}}", rest);
    rest = body(post("/v1/resume", "{\"request_id\":\"r1\",\"from\":2}"));
    assertTrue(rest.endsWith("data: [DONE]\n\n"));
    assertEquals(5, rest.split("\n\n").length);
  }

  /**
   * A request crashes the engine; it restarts without resident adapters, with a new incarnation.
   */
  @Test
  void crashMarkLosesResponseAndResidentAdapters() {
    load();
    final String before = engine.state().incarnation();
    assertThrows(CompletionException.class, () -> complete("draft [crash]", 5, true));
    assertThrows(CompletionException.class, () -> get("/state"));
    assertEquals(1, engine.counts().restarts());
    assertNotEquals(before, engine.state().incarnation());
    assertEquals(List.of(), engine.state().resident());
  }

  /** A frozen engine accepts connections but responds only after it is unfrozen. */
  @Test
  void frozenEngineRespondsOnlyWhenUnfrozen() {
    load();
    engine.freeze(true);
    final CompletableFuture<HttpResponse> response = completion("draft", 3, false);
    engine.counts();
    assertEquals(0, engine.counts().tokens());
    engine.freeze(false);
    assertEquals(200, response.join().status());
  }

  private void load() {
    assertEquals(200, order("load", 1).status());
  }

  private HttpResponse order(String name, long fencing) {
    return post("/orders/" + name, "{\"adapter\":\"" + ADAPTER + "\",\"fencing\":" + fencing + "}");
  }

  private String complete(String prompt, int tokens, boolean stream) {
    return body(completion(prompt, tokens, stream).join());
  }

  private CompletableFuture<HttpResponse> completion(String prompt, int tokens, boolean stream) {
    String json =
        String.format(
            "{\"model\":\"%s\",\"prompt\":\"%s\",\"max_tokens\":%d,\"stream\":%b}",
            ADAPTER, prompt, tokens, stream);
    return client.send(
        new HttpRequest(
            "POST",
            engine.uri().resolve("/v1/completions"),
            Map.of("X-Request-Id", "r1"),
            json.getBytes(StandardCharsets.UTF_8)),
        TIMEOUT_MILLIS);
  }

  private HttpResponse post(String path, String json) {
    return client
        .send(
            HttpRequest.postJson(engine.uri().resolve(path), json.getBytes(StandardCharsets.UTF_8)),
            TIMEOUT_MILLIS)
        .join();
  }

  private HttpResponse get(String path) {
    return client.send(HttpRequest.get(engine.uri().resolve(path)), TIMEOUT_MILLIS).join();
  }

  private static String body(HttpResponse response) {
    return new String(response.body(), StandardCharsets.UTF_8);
  }
}

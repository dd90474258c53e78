package org.hornbeamusher.path;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import org.hornbeamusher.agent.AgentDaemon;
import org.hornbeamusher.http.HttpResponse;
import org.hornbeamusher.ids.AdapterRef;
import org.hornbeamusher.ids.EndpointId;
import org.hornbeamusher.standin.EngineStandin;
import org.hornbeamusher.standin.PlatformFaults;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** One fault at a time over real sockets; asserts what callers receive. */
class FaultsTest {

  private static final int LONG_RESPONSE_TOKENS = 400;
  private PathFixture path;

  @BeforeEach
  void start() {
    path = new PathFixture();
  }

  @AfterEach
  void stop() throws InterruptedException {
    path.close();
  }

  /**
   * An engine crashes while it runs a repeatable request. The request must be retried at the other
   * engine, and its caller must get a complete response.
   */
  @Test
  void requestOfCrashedEngineIsRetriedElsewhere() {
    AdapterRef adapter = PathFixture.adapter(1);
    HttpResponse first = path.complete(0, adapter, "warm", 4).join();
    EngineStandin engine = path.engine(first.headers().get("x-endpoint"));

    long tokens = engine.counts().tokens();
    CompletableFuture<HttpResponse> response =
        path.complete(0, adapter, "roster", LONG_RESPONSE_TOKENS);
    awaitRunning(engine, tokens);
    engine.restart();

    assertEquals(
        PathFixture.expected(adapter, "roster", LONG_RESPONSE_TOKENS),
        PathFixture.text(response.join()));
  }

  /**
   * An engine crashes while it streams a response of which the caller has received a part. A retry
   * would start the response again, so the truncation must be visible to the caller: an error
   * event, no end mark, and a connection that is not ended properly.
   */
  @Test
  void truncatedStreamIsVisibleToCaller() {
    AdapterRef adapter = PathFixture.adapter(1);
    HttpResponse first = path.complete(0, adapter, "warm", 4).join();
    EngineStandin engine = path.engine(first.headers().get("x-endpoint"));

    StreamedResponseRecorder stream = new StreamedResponseRecorder();
    path.client().stream(
        StreamedResponseRecorder.call(
            path.entry(0).uri(), PathFixture.completion(adapter, "x", LONG_RESPONSE_TOKENS, true)),
        stream);
    PathFixture.await(() -> stream.text().contains("data: "));
    engine.restart();

    PathFixture.await(stream::isEnded);
    assertTrue(stream.text().contains("\"error\""), stream.text());
    assertFalse(stream.text().contains("[DONE]"), stream.text());
    assertTrue(stream.isTruncated());
  }

  /**
   * A non-repeatable request is sent to two entries, as by a caller that timed out and retried. It
   * must run once; the other send must get the failure claim-in-progress or the first one's
   * response.
   */
  @Test
  void nonRepeatableRequestsSentTwiceRunOnce() {
    AdapterRef adapter = PathFixture.adapter(2);
    String key = PathFixture.newKey();
    CompletableFuture<HttpResponse> one =
        path.complete(0, adapter, "booking", 40, PathFixture.nonRepeatableHeaders(key));
    CompletableFuture<HttpResponse> two =
        path.complete(1, adapter, "booking", 40, PathFixture.nonRepeatableHeaders(key));
    List<Integer> statuses = new ArrayList<>(List.of(one.join().status(), two.join().status()));

    assertTrue(statuses.contains(200), statuses.toString());
    assertEquals(1, path.runsOfKey(key));
    HttpResponse again =
        resendUntilEnded(
            () -> path.complete(1, adapter, "booking", 40, PathFixture.nonRepeatableHeaders(key)));
    assertEquals(PathFixture.expected(adapter, "booking", 40), PathFixture.text(again));
    assertEquals(1, path.runsOfKey(key));
  }

  /**
   * The engine crashes while it runs a non-repeatable request. Whether the booking was made cannot
   * be known, so the outcome must be {@code unknown}, and sending the request again must not run it
   * again.
   */
  @Test
  void nonRepeatableRequestIsNotRetriedAfterCrash() {
    AdapterRef adapter = PathFixture.adapter(1);
    HttpResponse first = path.complete(0, adapter, "warm", 4).join();
    EngineStandin engine = path.engine(first.headers().get("x-endpoint"));
    String key = PathFixture.newKey();

    long tokens = engine.counts().tokens();
    CompletableFuture<HttpResponse> pending =
        path.complete(
            0, adapter, "booking", LONG_RESPONSE_TOKENS, PathFixture.nonRepeatableHeaders(key));
    awaitRunning(engine, tokens);
    engine.restart();

    HttpResponse response = pending.join();
    assertNotEquals(200, response.status());
    assertEquals("unknown", PathFixture.outcome(response));
    HttpResponse again =
        path.complete(
                1, adapter, "booking", LONG_RESPONSE_TOKENS, PathFixture.nonRepeatableHeaders(key))
            .join();
    assertNotEquals(200, again.status());
    assertNotEquals("not-run", PathFixture.outcome(again));
    assertEquals(1, path.runsOfKey(key));
  }

  /**
   * The table service is down. Repeatable requests must succeed; a non-repeatable one must be
   * refused as not run, because without a claim nothing prevents a second run.
   */
  @Test
  void withTheTableDownOnlyNonRepeatableRequestsAreRefused() {
    path.deployment().platform().setFaults(PlatformFaults.REFUSING);
    AdapterRef adapter = PathFixture.adapter(1);
    String key = PathFixture.newKey();

    assertEquals(200, path.complete(0, adapter, "roster", 4).join().status());
    HttpResponse refused =
        path.complete(0, adapter, "booking", 4, PathFixture.nonRepeatableHeaders(key)).join();
    assertEquals(503, refused.status());
    assertEquals("claim-unavailable", PathFixture.errorType(refused));
    assertEquals("not-run", PathFixture.outcome(refused));
    assertEquals(0, path.runsOfKey(key));

    path.deployment().platform().setFaults(PlatformFaults.NONE);
    assertEquals(
        200,
        path.complete(0, adapter, "booking", 4, PathFixture.nonRepeatableHeaders(key))
            .join()
            .status());
    assertEquals(1, path.runsOfKey(key));
  }

  /**
   * The table's response to the insert of a claim is lost after the write took effect. The entry
   * must recognise its own token when it reads the claim back, and run the request once.
   */
  @Test
  void lostResponseToClaimRunsRequestOnce() {
    AdapterRef adapter = PathFixture.adapter(1);
    path.complete(0, adapter, "warm", 4).join();
    path.deployment().platform().setFaults(PlatformFaults.losingResponses(1));
    String key = PathFixture.newKey();

    HttpResponse response =
        path.complete(0, adapter, "booking", 4, PathFixture.nonRepeatableHeaders(key)).join();

    assertEquals(200, response.status());
    assertEquals(1, path.runsOfKey(key));
  }

  /**
   * An agent is drained while it runs a long request. The response must be complete, and no new
   * request may reach the agent's endpoint from then on.
   */
  @Test
  void drainingAgentCompletesItsRequestsAndGetsNoNewOnes() {
    AdapterRef adapter = PathFixture.adapter(1);
    HttpResponse first = path.complete(0, adapter, "warm", 4).join();
    String endpoint = first.headers().get("x-endpoint");
    AgentDaemon agent = path.deployment().agents().get(new EndpointId(endpoint));

    long tokens = path.engine(endpoint).counts().tokens();
    final CompletableFuture<HttpResponse> response =
        path.complete(0, adapter, "roster", LONG_RESPONSE_TOKENS);
    awaitRunning(path.engine(endpoint), tokens);
    int before = path.entry(0).routableEndpointCount();
    agent.drain();
    PathFixture.await(() -> path.entry(0).routableEndpointCount() == before - 1);

    for (int i = 0; i < 10; i++) {
      HttpResponse later = path.complete(0, adapter, "later " + i, 4).join();
      assertEquals(200, later.status());
      assertNotEquals(endpoint, later.headers().get("x-endpoint"));
    }
    assertEquals(
        PathFixture.expected(adapter, "roster", LONG_RESPONSE_TOKENS),
        PathFixture.text(response.join()));
  }

  /**
   * An entry is stopped while a request is in flight; the response must be complete before the
   * entry ends.
   */
  @Test
  void stoppingEntryCompletesItsRequests() throws InterruptedException {
    AdapterRef adapter = PathFixture.adapter(1);
    HttpResponse first = path.complete(0, adapter, "warm", 4).join();
    EngineStandin engine = path.engine(first.headers().get("x-endpoint"));
    long tokens = engine.counts().tokens();
    CompletableFuture<HttpResponse> response =
        path.complete(0, adapter, "roster", LONG_RESPONSE_TOKENS);
    awaitRunning(engine, tokens);

    path.entry(0).stop();

    assertEquals(
        PathFixture.expected(adapter, "roster", LONG_RESPONSE_TOKENS),
        PathFixture.text(response.join()));
  }

  /**
   * A request crashes each engine that runs it, and its caller keeps sending it through both
   * entries. It may crash at most two engines; then it must be refused as quarantined.
   */
  @Test
  void requestsThatCrashEnginesAreQuarantined() {
    AdapterRef adapter = PathFixture.adapter(1);
    path.complete(0, adapter, "warm", 4).join();
    String crashing = "x " + org.hornbeamusher.standin.ExpectedResponse.CRASH_MARK;

    String last = "";
    for (int i = 0; i < 12; i++) {
      HttpResponse response = path.complete(i % 2, adapter, crashing, 4).join();
      assertNotEquals(200, response.status());
      last = PathFixture.errorType(response);
      PathFixture.pause(100);
    }

    assertEquals("quarantined", last);
    assertTrue(path.restarts() <= 2, "engine restarts: " + path.restarts());
  }

  /**
   * An agent was paused for so long that it was superseded, and its successor sent the engine an
   * order with a higher fencing number. When the old agent resumes, the engine refuses its next
   * order. The agent must drain, and requests must be served by another endpoint.
   */
  @Test
  void supersededAgentDrains() {
    int before = path.entry(0).routableEndpointCount();
    for (EngineStandin engine : path.deployment().engines().values()) {
      path.order(engine, "/orders/role", "{\"role\":\"both\",\"fencing\":1000}");
      break;
    }

    for (int i = 0; i < 8; i++) {
      HttpResponse response = path.complete(0, PathFixture.adapter(i), "roster", 4).join();
      assertEquals(200, response.status(), PathFixture.json(response).toString());
    }
    PathFixture.await(() -> path.entry(0).routableEndpointCount() == before - 1);
  }

  /**
   * The next load of each engine fails; the request must get its response or a typed refusal, and
   * later requests must succeed.
   */
  @Test
  void requestAfterFailedLoadIsServedOrRefused() {
    path.deployment().engines().values().forEach(engine -> engine.failNextLoads(1));
    AdapterRef adapter = PathFixture.adapter(5);

    HttpResponse response = path.complete(0, adapter, "roster", 4).join();

    if (response.status() == 200) {
      assertEquals(PathFixture.expected(adapter, "roster", 4), PathFixture.text(response));
    } else {
      assertEquals("not-run", PathFixture.outcome(response), PathFixture.json(response).toString());
    }
    PathFixture.await(() -> path.complete(0, adapter, "later", 4).join().status() == 200);
  }

  /**
   * A new document version is submitted. It must become current in every entry and agent, and
   * requests must then use the new adapter version.
   */
  @Test
  void acceptedDocumentBecomesCurrentEverywhere() {
    String text =
        path.deployment()
            .documentText(PathFixture.PLAN)
            .replace(
                "\"a-0\" = { current = 1, versions = [1] }",
                "\"a-0\" = { current = 2, versions = [1, 2] }");
    long version = path.deployment().submit(PathFixture.PLAN, text, 1);

    for (int entry = 0; entry < 2; entry++) {
      var documents = path.entry(entry).services().documents();
      PathFixture.await(
          () ->
              documents.current(PathFixture.PLAN.modelService()).orElseThrow().version()
                  == version);
    }
    for (AgentDaemon agent : path.deployment().agents().values()) {
      var documents = agent.services().documents();
      PathFixture.await(
          () ->
              documents.current(PathFixture.PLAN.modelService()).orElseThrow().version()
                  == version);
    }
    HttpResponse response =
        path.post(
                0,
                "/v1/completions",
                "{\"model\":\"lm-dispatch/a-0\",\"prompt\":\"p\",\"max_tokens\":2}",
                Map.of())
            .join();
    assertEquals("lm-dispatch/a-0@2", response.headers().get("x-adapter"));
  }

  /** A caller disconnects in mid-stream; the request must be cancelled at the engine. */
  @Test
  void abandonedStreamsAreCancelledAtTheEngine() {
    AdapterRef adapter = PathFixture.adapter(1);
    HttpResponse first = path.complete(0, adapter, "warm", 4).join();
    EngineStandin engine = path.engine(first.headers().get("x-endpoint"));
    StreamedResponseRecorder recorder = new StreamedResponseRecorder();
    var stream =
        path.client().stream(
            StreamedResponseRecorder.call(
                path.entry(0).uri(), PathFixture.completion(adapter, "x", 4_000, true)),
            recorder);
    PathFixture.await(() -> recorder.text().contains("data: "));

    stream.cancel();

    PathFixture.await(() -> path.runningRequests(engine) == 0);
    assertTrue(engine.counts().tokens() < 4_000, "tokens generated: " + engine.counts().tokens());
  }

  private static HttpResponse resendUntilEnded(
      java.util.function.Supplier<CompletableFuture<HttpResponse>> send) {
    HttpResponse response = send.get().join();
    for (int i = 0; i < 200 && PathFixture.errorType(response).equals("claim-in-progress"); i++) {
      PathFixture.pause(20);
      response = send.get().join();
    }
    return response;
  }

  /** Waits until an engine runs a request; the count of its tokens is from before the request. */
  private static void awaitRunning(EngineStandin engine, long tokensBefore) {
    PathFixture.await(() -> engine.counts().tokens() > tokensBefore + 2);
  }
}

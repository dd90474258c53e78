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

/** One fault at a time over real sockets, judged by what callers receive. */
class FaultsTest {

  private static final int LONG = 400;
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
   * An engine crashes while it runs requests that may be repeated. Their callers get whole answers
   * from the other engine, a little later, and nothing else.
   */
  @Test
  void requestsOfCrashedEnginesAreAnsweredElsewhere() {
    AdapterRef adapter = PathFixture.adapter(1);
    HttpResponse first = path.complete(0, adapter, "warm", 4).join();
    EngineStandin engine = path.engineOf(first.headers().get("x-endpoint"));

    CompletableFuture<HttpResponse> answer = path.complete(0, adapter, "roster", LONG);
    awaitRunning(engine);
    engine.restart();

    assertEquals(PathFixture.expected(adapter, "roster", LONG), PathFixture.text(answer.join()));
  }

  /**
   * An engine crashes in the middle of a streamed answer of which the caller has a part already. A
   * second run would begin the answer anew, so the caller must see that it was cut: an error event,
   * no end mark, and a connection that does not end properly.
   */
  @Test
  void cutStreamsAreVisible() {
    AdapterRef adapter = PathFixture.adapter(1);
    HttpResponse first = path.complete(0, adapter, "warm", 4).join();
    EngineStandin engine = path.engineOf(first.headers().get("x-endpoint"));

    StreamedReply reply = new StreamedReply();
    path.client().stream(
        StreamedReply.call(path.entry(0).uri(), PathFixture.completion(adapter, "x", LONG, true)),
        reply);
    PathFixture.await(() -> reply.text().contains("data: "));
    engine.restart();

    PathFixture.await(reply::isEnded);
    assertTrue(reply.text().contains("\"error\""), reply.text());
    assertFalse(reply.text().contains("[DONE]"), reply.text());
    assertTrue(reply.isCut());
  }

  /**
   * A non-repeatable request is sent twice, as by a caller that gave up waiting, to two entries. It
   * must run once; the second send is told that it runs, or gets the first one's answer.
   */
  @Test
  void nonRepeatableRequestsSentTwiceRunOnce() {
    AdapterRef adapter = PathFixture.adapter(2);
    String key = PathFixture.key();
    CompletableFuture<HttpResponse> one =
        path.complete(0, adapter, "booking", 40, PathFixture.once(key));
    CompletableFuture<HttpResponse> two =
        path.complete(1, adapter, "booking", 40, PathFixture.once(key));
    List<Integer> statuses = new ArrayList<>(List.of(one.join().status(), two.join().status()));

    assertTrue(statuses.contains(200), statuses.toString());
    assertEquals(1, path.runsOfKey(key));
    HttpResponse again =
        resentUntilEnded(() -> path.complete(1, adapter, "booking", 40, PathFixture.once(key)));
    assertEquals(PathFixture.expected(adapter, "booking", 40), PathFixture.text(again));
    assertEquals(1, path.runsOfKey(key));
  }

  /**
   * The engine crashes while it runs a non-repeatable request. Whether the booking was made cannot
   * be known, so the caller is told {@code unknown}, and sending it again does not run it again.
   */
  @Test
  void nonRepeatableRequestsAreNotRepeatedAfterCrashes() {
    AdapterRef adapter = PathFixture.adapter(1);
    HttpResponse first = path.complete(0, adapter, "warm", 4).join();
    EngineStandin engine = path.engineOf(first.headers().get("x-endpoint"));
    String key = PathFixture.key();

    CompletableFuture<HttpResponse> answer =
        path.complete(0, adapter, "booking", LONG, PathFixture.once(key));
    awaitRunning(engine);
    engine.restart();

    HttpResponse reply = answer.join();
    assertNotEquals(200, reply.status());
    assertEquals("unknown", PathFixture.outcome(reply));
    HttpResponse again = path.complete(1, adapter, "booking", LONG, PathFixture.once(key)).join();
    assertNotEquals(200, again.status());
    assertNotEquals("not-run", PathFixture.outcome(again));
    assertEquals(1, path.runsOfKey(key));
  }

  /**
   * The table service is down. Requests that may be repeated go on; one that must run at most once
   * is refused as not run, because nothing could keep a second send from running.
   */
  @Test
  void withTheTableDownOnlyNonRepeatableRequestsAreRefused() {
    path.deployment().platform().faults(PlatformFaults.REFUSING);
    AdapterRef adapter = PathFixture.adapter(1);
    String key = PathFixture.key();

    assertEquals(200, path.complete(0, adapter, "roster", 4).join().status());
    HttpResponse refused = path.complete(0, adapter, "booking", 4, PathFixture.once(key)).join();
    assertEquals(503, refused.status());
    assertEquals("claim-unavailable", PathFixture.errorType(refused));
    assertEquals("not-run", PathFixture.outcome(refused));
    assertEquals(0, path.runsOfKey(key));

    path.deployment().platform().faults(PlatformFaults.NONE);
    assertEquals(
        200, path.complete(0, adapter, "booking", 4, PathFixture.once(key)).join().status());
    assertEquals(1, path.runsOfKey(key));
  }

  /**
   * The answer of the table to a claim's insert is lost after the write took effect. The entry
   * reads its own token back and runs the request, once.
   */
  @Test
  void lostAnswersToClaimsRunTheRequestOnce() {
    AdapterRef adapter = PathFixture.adapter(1);
    path.complete(0, adapter, "warm", 4).join();
    path.deployment().platform().faults(PlatformFaults.losing(1));
    String key = PathFixture.key();

    HttpResponse reply = path.complete(0, adapter, "booking", 4, PathFixture.once(key)).join();

    assertEquals(200, reply.status());
    assertEquals(1, path.runsOfKey(key));
  }

  /**
   * An agent is told to drain while it runs a long answer. The answer must arrive whole, and no new
   * request may reach the agent's endpoint from then on.
   */
  @Test
  void drainingAgentsFinishTheirWorkAndGetNoneAnew() {
    AdapterRef adapter = PathFixture.adapter(1);
    HttpResponse first = path.complete(0, adapter, "warm", 4).join();
    String endpoint = first.headers().get("x-endpoint");
    AgentDaemon agent = path.deployment().agents().get(new EndpointId(endpoint));

    final CompletableFuture<HttpResponse> answer = path.complete(0, adapter, "roster", LONG);
    awaitRunning(path.engineOf(endpoint));
    int before = path.entry(0).routableEndpointCount();
    agent.drain();
    PathFixture.await(() -> path.entry(0).routableEndpointCount() == before - 1);

    for (int i = 0; i < 10; i++) {
      HttpResponse later = path.complete(0, adapter, "later " + i, 4).join();
      assertEquals(200, later.status());
      assertNotEquals(endpoint, later.headers().get("x-endpoint"));
    }
    assertEquals(PathFixture.expected(adapter, "roster", LONG), PathFixture.text(answer.join()));
  }

  /** An entry is stopped while it streams; the answer arrives whole before the process ends. */
  @Test
  void stoppingEntriesCutNothing() throws InterruptedException {
    AdapterRef adapter = PathFixture.adapter(1);
    HttpResponse first = path.complete(0, adapter, "warm", 4).join();
    CompletableFuture<HttpResponse> answer = path.complete(0, adapter, "roster", LONG);
    awaitRunning(path.engineOf(first.headers().get("x-endpoint")));

    path.entry(0).stop();

    assertEquals(PathFixture.expected(adapter, "roster", LONG), PathFixture.text(answer.join()));
  }

  /**
   * One request crashes each engine that runs it, and its caller sends it again and again, through
   * both entries. Two engines may be lost to it; then it is refused with a type.
   */
  @Test
  void requestsThatCrashEnginesAreQuarantined() {
    AdapterRef adapter = PathFixture.adapter(1);
    path.complete(0, adapter, "warm", 4).join();
    String crashing = "x " + org.hornbeamusher.standin.ExpectedAnswer.CRASH_MARK;

    String last = "";
    for (int i = 0; i < 12; i++) {
      HttpResponse reply = path.complete(i % 2, adapter, crashing, 4).join();
      assertNotEquals(200, reply.status());
      last = PathFixture.errorType(reply);
      PathFixture.pause(100);
    }

    assertEquals("quarantined", last);
    assertTrue(path.restarts() <= 2, "engines lost: " + path.restarts());
  }

  /**
   * An agent was paused for so long that it was replaced; its successor gave the engine an order
   * with a higher number. On waking up the old agent still believes in its own. The engine refuses
   * its next order, it leaves, and the caller is answered by another endpoint.
   */
  @Test
  void agentsThatWereReplacedLeave() {
    int before = path.entry(0).routableEndpointCount();
    for (EngineStandin engine : path.deployment().engines().values()) {
      path.order(engine, "/orders/role", "{\"role\":\"both\",\"fencing\":1000}");
      break;
    }

    for (int i = 0; i < 8; i++) {
      HttpResponse reply = path.complete(0, PathFixture.adapter(i), "roster", 4).join();
      assertEquals(200, reply.status(), PathFixture.json(reply).toString());
    }
    PathFixture.await(() -> path.entry(0).routableEndpointCount() == before - 1);
  }

  /** Loads fail for a while; requests are answered or refused with a type, never lost. */
  @Test
  void failedLoadsAreAnsweredElsewhereOrRefused() {
    path.deployment().engines().values().forEach(engine -> engine.failNextLoads(1));
    AdapterRef adapter = PathFixture.adapter(5);

    HttpResponse reply = path.complete(0, adapter, "roster", 4).join();

    if (reply.status() == 200) {
      assertEquals(PathFixture.expected(adapter, "roster", 4), PathFixture.text(reply));
    } else {
      assertEquals("not-run", PathFixture.outcome(reply), PathFixture.json(reply).toString());
    }
    PathFixture.await(() -> path.complete(0, adapter, "later", 4).join().status() == 200);
  }

  /**
   * A team submits a new version of its document. Every entry serves by it within seconds, and a
   * caller that names the new adapter version is served.
   */
  @Test
  void acceptedDocumentsAreInForceEverywhere() {
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
          () -> documents.current(PathFixture.PLAN.model()).orElseThrow().version() == version);
    }
    for (AgentDaemon agent : path.deployment().agents().values()) {
      var documents = agent.services().documents();
      PathFixture.await(
          () -> documents.current(PathFixture.PLAN.model()).orElseThrow().version() == version);
    }
    HttpResponse reply =
        path.post(
                0,
                "/v1/completions",
                "{\"model\":\"lm-dispatch/a-0\",\"prompt\":\"p\",\"max_tokens\":2}",
                Map.of())
            .join();
    assertEquals("lm-dispatch/a-0@2", reply.headers().get("x-adapter"));
  }

  /** A caller goes away in the middle of a stream; the engine is told to stop running it. */
  @Test
  void abandonedStreamsAreCancelledAtTheEngine() {
    AdapterRef adapter = PathFixture.adapter(1);
    HttpResponse first = path.complete(0, adapter, "warm", 4).join();
    EngineStandin engine = path.engineOf(first.headers().get("x-endpoint"));
    StreamedReply reply = new StreamedReply();
    var stream =
        path.client().stream(
            StreamedReply.call(
                path.entry(0).uri(), PathFixture.completion(adapter, "x", 4_000, true)),
            reply);
    PathFixture.await(() -> reply.text().contains("data: "));

    stream.cancel();

    PathFixture.await(() -> path.running(engine) == 0);
    assertTrue(engine.counts().tokens() < 4_000, "ran on: " + engine.counts().tokens());
  }

  private static HttpResponse resentUntilEnded(
      java.util.function.Supplier<CompletableFuture<HttpResponse>> send) {
    HttpResponse reply = send.get().join();
    for (int i = 0; i < 200 && PathFixture.errorType(reply).equals("claim-in-progress"); i++) {
      PathFixture.pause(20);
      reply = send.get().join();
    }
    return reply;
  }

  private static void awaitRunning(EngineStandin engine) {
    long before = engine.counts().tokens();
    PathFixture.await(() -> engine.counts().tokens() > before + 2);
  }
}

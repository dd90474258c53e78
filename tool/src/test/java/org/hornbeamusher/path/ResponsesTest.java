package org.hornbeamusher.path;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.DataOutputStream;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.net.URI;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.CompletableFuture;
import org.hornbeamusher.agent.AgentDaemon;
import org.hornbeamusher.http.HttpRequest;
import org.hornbeamusher.http.HttpResponse;
import org.hornbeamusher.ids.AdapterRef;
import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.Test;

/**
 * Responses of real daemons over loopback without faults of the system, including those to invalid
 * requests.
 */
class ResponsesTest {

  private static final int TOKENS = 8;
  private static PathFixture path;

  @BeforeAll
  static void start() {
    path = new PathFixture();
  }

  @AfterAll
  static void stop() throws InterruptedException {
    path.close();
  }

  @Test
  void completeResponseNamesAdapterAndEndpoint() {
    AdapterRef adapter = PathFixture.adapter(1);
    HttpResponse response = path.complete(0, adapter, "roster", TOKENS).join();

    assertEquals(200, response.status());
    assertEquals(PathFixture.expected(adapter, "roster", TOKENS), PathFixture.text(response));
    assertEquals(adapter.toString(), response.headers().get("x-adapter"));
    assertEquals(adapter.toString(), PathFixture.json(response).path("model").asText());
    assertTrue(response.headers().get("x-endpoint").startsWith("lm-dispatch-"));
    assertTrue(Long.parseLong(response.headers().get("x-load-stall-ms")) >= 0);
    assertEquals(36, response.headers().get("x-request-id").length());
  }

  @Test
  void modelWithoutVersionIsTheCurrentOne() {
    String body = "{\"model\":\"lm-dispatch/a-2\",\"prompt\":\"p\",\"max_tokens\":4}";
    HttpResponse response = path.post(0, "/v1/completions", body, Map.of()).join();

    assertEquals("lm-dispatch/a-2@1", response.headers().get("x-adapter"));
    assertEquals(PathFixture.expected(PathFixture.adapter(2), "p", 4), PathFixture.text(response));
  }

  @Test
  void streamedResponseEndsWithDoneMark() {
    AdapterRef adapter = PathFixture.adapter(1);
    String body = PathFixture.completion(adapter, "roster", TOKENS, true);
    HttpResponse response = path.post(0, "/v1/completions", body, Map.of()).join();

    assertEquals("text/event-stream", response.headers().get("content-type"));
    String events = new String(response.body(), StandardCharsets.UTF_8);
    assertTrue(events.endsWith("data: [DONE]\n\n"), events);
    assertEquals(TOKENS + 2, events.split("data: ", -1).length - 1);
  }

  @Test
  void chatsAreRenderedAsPrompts() {
    String body =
        "{\"model\":\"lm-dispatch/a-1@1\",\"max_tokens\":4,"
            + "\"messages\":[{\"role\":\"user\",\"content\":\"where to unload\"}]}";
    HttpResponse response = path.post(1, "/v1/chat/completions", body, Map.of()).join();

    assertEquals(
        PathFixture.expected(PathFixture.adapter(1), "user: where to unload\nassistant:", 4),
        PathFixture.json(response)
            .path("choices")
            .path(0)
            .path("message")
            .path("content")
            .asText());
  }

  @Test
  void concurrentRequestsGetResponsesOfTheirAdapters() {
    List<CompletableFuture<?>> all = new ArrayList<>();
    for (int i = 0; i < 60; i++) {
      AdapterRef adapter = PathFixture.adapter(i % 6);
      String prompt = "manifest " + i;
      all.add(
          path.complete(i % 2, adapter, prompt, TOKENS)
              .thenAccept(
                  response ->
                      assertEquals(
                          PathFixture.expected(adapter, prompt, TOKENS),
                          PathFixture.text(response))));
    }
    CompletableFuture.allOf(all.toArray(CompletableFuture[]::new)).join();
    assertEquals(0, path.unloadsInUse());
  }

  @Test
  void invalidRequestsAreRefusedWithTypeAndNotRun() {
    check(400, "malformed-request", "/v1/completions", "{", Map.of());
    check(400, "malformed-request", "/v1/completions", "[]", Map.of());
    check(400, "malformed-request", "/v1/completions", "{\"model\":1}", Map.of());
    check(404, "unknown-model", "/v1/completions", model("lm-dispatch/none@1"), Map.of());
    check(404, "unknown-model", "/v1/completions", model("lm-dispatch/a-1@9"), Map.of());
    check(404, "unknown-model", "/v1/completions", model("valuer-llm/a-1@1"), Map.of());
    check(404, "unknown-model", "/v1/completions", model("../..@1"), Map.of());
    check(404, "unknown-path", "/v2", "", Map.of());
    check(
        400,
        "invalid-header",
        "/v1/completions",
        model("lm-dispatch/a-1@1"),
        Map.of("X-Deadline-Ms", "soon"));
    check(
        400,
        "claim-key-missing",
        "/v1/completions",
        model("lm-dispatch/a-1@1"),
        Map.of("X-Repeatable", "false"));
    check(
        401,
        "unauthenticated",
        "/v1/completions",
        model("lm-dispatch/a-1@1"),
        Map.of("Authorization", "Bearer nobody"));
  }

  @Test
  void bodiesThatAreTooLongAreRefused() {
    String body = model("lm-dispatch/a-1@1").replace("p", "p".repeat(2_000_000));
    HttpResponse response = path.post(0, "/v1/completions", body, Map.of()).join();
    assertEquals(413, response.status());
  }

  @Test
  void modelsAreListedForTheirOwnPartner() {
    HttpResponse response =
        path.send(
                new HttpRequest(
                    "GET",
                    URI.create(path.entry(0).uri() + "/v1/models"),
                    Map.of(
                        "Authorization",
                        "Bearer "
                            + org.hornbeamusher.demo.Deployment.callerToken(PathFixture.PLAN)),
                    new byte[0]))
            .join();
    assertEquals(40, PathFixture.json(response).path("data").size());
  }

  /**
   * Something other than an entry connects to an agent and sends invalid data: random bytes, a
   * length far beyond that of any frame, or an incomplete frame. The agent must drop that
   * connection without affecting a request that it is serving at the time.
   */
  @Test
  void invalidDataOnAgentPortDoesNotAffectRequests() throws IOException {
    Random random = new Random(4711);
    AdapterRef adapter = PathFixture.adapter(3);
    CompletableFuture<HttpResponse> response = path.complete(0, adapter, "long", 200);
    for (AgentDaemon agent : path.deployment().agents().values()) {
      for (int i = 0; i < 20; i++) {
        sendGarbage(agent.address(), random);
      }
    }
    assertEquals(PathFixture.expected(adapter, "long", 200), PathFixture.text(response.join()));
  }

  private static void sendGarbage(InetSocketAddress address, Random random) throws IOException {
    byte[] bytes = new byte[random.nextInt(1, 400)];
    random.nextBytes(bytes);
    try (Socket socket = new Socket(address.getAddress(), address.getPort())) {
      DataOutputStream out = new DataOutputStream(socket.getOutputStream());
      if (random.nextBoolean()) {
        out.writeInt(random.nextBoolean() ? Integer.MAX_VALUE : bytes.length + 7);
      }
      out.write(bytes);
      out.flush();
    }
  }

  private static String model(String name) {
    return "{\"model\":\"" + name + "\",\"prompt\":\"p\",\"max_tokens\":4}";
  }

  private static void check(
      int status, String type, String target, String body, Map<String, String> headers) {
    HttpResponse response = path.post(0, target, body, headers).join();
    assertEquals(type, PathFixture.errorType(response), body);
    assertEquals(status, response.status(), body);
    assertEquals("not-run", PathFixture.outcome(response), body);
  }
}

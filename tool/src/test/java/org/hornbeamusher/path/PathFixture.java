package org.hornbeamusher.path;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.URI;
import java.nio.charset.StandardCharsets;
import java.security.SecureRandom;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.function.BooleanSupplier;
import org.hornbeamusher.clock.SystemClock;
import org.hornbeamusher.demo.Deployment;
import org.hornbeamusher.demo.PartnerPlan;
import org.hornbeamusher.documents.ServiceDocument.CostWeights;
import org.hornbeamusher.entry.EntryDaemon;
import org.hornbeamusher.http.HttpClient;
import org.hornbeamusher.http.HttpRequest;
import org.hornbeamusher.http.HttpResponse;
import org.hornbeamusher.ids.AdapterName;
import org.hornbeamusher.ids.AdapterRef;
import org.hornbeamusher.ids.AvailabilityZone;
import org.hornbeamusher.ids.PartnerId;
import org.hornbeamusher.ids.ServiceName;
import org.hornbeamusher.ids.TeamId;
import org.hornbeamusher.ids.TimeOrderedUuid;
import org.hornbeamusher.standin.EngineSettings;
import org.hornbeamusher.standin.EngineStandin;
import org.hornbeamusher.standin.ExpectedResponse;

/** A deployment of one partner with two zones and two engines, and methods to call it. */
final class PathFixture implements AutoCloseable {

  static final PartnerPlan PLAN =
      new PartnerPlan(
          new PartnerId("zarqa"),
          new TeamId("dispatch"),
          List.of(new AvailabilityZone("marka"), new AvailabilityZone("sahab")),
          new ServiceName("lm-dispatch"),
          2,
          40,
          new CostWeights(1, 1),
          new ServiceName("haul-api"),
          1,
          "/bookings");

  private static final int SLOTS = 4;
  private static final int BATCH = 4;
  private static final long TOKEN_MICROS = 2_000;
  private static final long CALL_TIMEOUT_MILLIS = 60_000;
  private static final long AWAIT_POLLS = 3_000;
  private static final long AWAIT_POLL_MILLIS = 10;
  private static final ObjectMapper JSON = new ObjectMapper();

  private final Deployment deployment;
  private final HttpClient client = new HttpClient(2);

  PathFixture() {
    this(EngineSettings.of(0, SLOTS, BATCH).withTokenMicros(TOKEN_MICROS));
  }

  PathFixture(EngineSettings engines) {
    deployment = new Deployment(List.of(PLAN), engines);
    deployment.start();
    client.start();
    for (int entry = 0; entry < PLAN.zones().size(); entry++) {
      awaitReady(entry);
    }
  }

  @Override
  public void close() throws InterruptedException {
    client.stop();
    deployment.stop();
  }

  Deployment deployment() {
    return deployment;
  }

  EntryDaemon entry(int number) {
    return deployment.entries(PLAN).get(number);
  }

  static AdapterRef adapter(int number) {
    return new AdapterRef(PLAN.modelService(), new AdapterName("a-" + number), 1);
  }

  /**
   * Waits until an entry can route to every endpoint; tests make no assertion about the time that
   * takes.
   */
  private void awaitReady(int entry) {
    await(() -> entry(entry).routableEndpointCount() == deployment.agents().size());
  }

  static void await(BooleanSupplier condition) {
    for (int i = 0; i < AWAIT_POLLS && !condition.getAsBoolean(); i++) {
      pause(AWAIT_POLL_MILLIS);
    }
    org.junit.jupiter.api.Assertions.assertTrue(
        condition.getAsBoolean(), "condition not met in time");
  }

  static void pause(long millis) {
    try {
      Thread.sleep(millis);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  CompletableFuture<HttpResponse> complete(
      int entry, AdapterRef adapter, String prompt, int tokens) {
    return complete(entry, adapter, prompt, tokens, Map.of());
  }

  CompletableFuture<HttpResponse> complete(
      int entry, AdapterRef adapter, String prompt, int tokens, Map<String, String> headers) {
    return post(entry, "/v1/completions", completion(adapter, prompt, tokens, false), headers);
  }

  static String completion(AdapterRef adapter, String prompt, int tokens, boolean stream) {
    ObjectNode body = JSON.createObjectNode();
    body.put("model", adapter.toString());
    body.put("prompt", prompt);
    body.put("max_tokens", tokens);
    body.put("stream", stream);
    return body.toString();
  }

  CompletableFuture<HttpResponse> post(
      int entry, String path, String body, Map<String, String> headers) {
    Map<String, String> all = new HashMap<>(headers);
    all.putIfAbsent("Authorization", "Bearer " + Deployment.callerToken(PLAN));
    return send(
        new HttpRequest(
            "POST",
            URI.create(entry(entry).uri() + path),
            all,
            body.getBytes(StandardCharsets.UTF_8)));
  }

  CompletableFuture<HttpResponse> send(HttpRequest call) {
    return client.send(call, CALL_TIMEOUT_MILLIS);
  }

  HttpClient client() {
    return client;
  }

  static JsonNode json(HttpResponse response) {
    try {
      return JSON.readTree(response.body());
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }

  static String text(HttpResponse response) {
    return json(response).path("choices").path(0).path("text").asText();
  }

  static String errorType(HttpResponse response) {
    return json(response).path("error").path("type").asText();
  }

  static String outcome(HttpResponse response) {
    return json(response).path("error").path("outcome").asText();
  }

  static String expected(AdapterRef adapter, String prompt, int tokens) {
    return new ExpectedResponse(adapter, prompt, tokens).text();
  }

  /** Returns a new idempotency key in the required form, a UUID of version 7. */
  static String newKey() {
    return TimeOrderedUuid.of(SystemClock.INSTANCE.millis(), new SecureRandom()).toString();
  }

  static Map<String, String> nonRepeatableHeaders(String key) {
    return Map.of("X-Repeatable", "false", "Idempotency-Key", key);
  }

  long runsOfKey(String key) {
    return deployment.engines().values().stream()
        .mapToLong(engine -> engine.counts().runsByKey().getOrDefault(key, 0L))
        .sum();
  }

  int runningRequests(EngineStandin engine) {
    HttpResponse state =
        client.send(HttpRequest.get(engine.uri().resolve("/state")), CALL_TIMEOUT_MILLIS).join();
    return json(state).path("running").asInt();
  }

  void order(EngineStandin engine, String target, String json) {
    byte[] body = json.getBytes(StandardCharsets.UTF_8);
    HttpResponse response =
        client
            .send(HttpRequest.postJson(engine.uri().resolve(target), body), CALL_TIMEOUT_MILLIS)
            .join();
    org.junit.jupiter.api.Assertions.assertEquals(200, response.status());
  }

  long restarts() {
    return deployment.engines().values().stream()
        .mapToLong(engine -> engine.counts().restarts())
        .sum();
  }

  long unloadsInUse() {
    return deployment.engines().values().stream()
        .mapToLong(engine -> engine.counts().unloadsInUse())
        .sum();
  }

  EngineStandin engine(String endpoint) {
    return deployment.engines().get(new org.hornbeamusher.ids.EndpointId(endpoint));
  }
}

package org.hornbeamusher.endpoint;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.net.URI;
import java.nio.charset.StandardCharsets;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.function.Consumer;
import org.hornbeamusher.availability.RetryAfter;
import org.hornbeamusher.failure.FailureType;
import org.hornbeamusher.failure.HornbeamusherException;
import org.hornbeamusher.failure.Outcome;
import org.hornbeamusher.http.HttpClient;
import org.hornbeamusher.http.HttpRequest;
import org.hornbeamusher.http.HttpResponse;
import org.hornbeamusher.ids.AdapterRef;
import org.hornbeamusher.ids.EndpointId;
import org.hornbeamusher.ids.FencingNumber;

/**
 * A client that sends load, unload and cancel orders to one engine and reads its state. Each call
 * has its own connection, because an engine does not say which call it answers.
 */
public final class EngineOrderClient {

  private static final ObjectMapper JSON = new ObjectMapper();
  private static final int OK = 200;
  private static final int CONFLICT = 409;

  /** The engine answers from memory; without a response within 1 s it counts as unavailable. */
  private static final long STATE_TIMEOUT_MILLIS = 1_000;

  private final EndpointId endpoint;
  private final URI uri;
  private final HttpClient http;
  private final long orderTimeoutMillis;
  private volatile Consumer<RetryAfter> retryAfter = stated -> {};

  /**
   * Creates a client of one engine.
   *
   * @param endpoint the engine
   * @param uri its address
   * @param http sends the requests
   * @param orderTimeoutMillis the time after which the response to an order counts as lost
   */
  public EngineOrderClient(EndpointId endpoint, URI uri, HttpClient http, long orderTimeoutMillis) {
    this.endpoint = endpoint;
    this.uri = uri;
    this.http = http;
    this.orderTimeoutMillis = orderTimeoutMillis;
  }

  /**
   * Sets the listener for the Retry-After values of the engine's responses.
   *
   * @param listener called on the client's threads
   */
  public void onRetryAfter(Consumer<RetryAfter> listener) {
    retryAfter = listener;
  }

  private CompletableFuture<HttpResponse> send(HttpRequest call, long timeoutMillis) {
    return http.sendOnOwnConnection(call, timeoutMillis)
        .whenComplete(
            (response, thrown) -> {
              if (thrown == null) {
                String time = response.headers().get(RetryAfter.FIELD);
                List<String> times = time == null ? List.of() : List.of(time);
                retryAfter.accept(RetryAfter.of(response.status(), times));
              }
            });
  }

  /**
   * Orders the engine to load an adapter.
   *
   * @param adapter the adapter
   * @param weights its location in the weight store
   * @param fencing the fencing number of this agent
   * @return completes when the adapter is resident; fails with {@code LOAD_FAILED}, {@code
   *     STALE_FENCING_NUMBER}, or {@code CONNECTION_CLOSED} when the response was lost
   */
  public CompletableFuture<Void> load(AdapterRef adapter, String weights, FencingNumber fencing) {
    ObjectNode order = JSON.createObjectNode();
    order.put("adapter", adapter.toString());
    order.put("weights", weights);
    order.put("fencing", fencing.value());
    return order("/orders/load", order, adapter);
  }

  /**
   * Orders the engine to unload an adapter.
   *
   * @param adapter the adapter
   * @param fencing the fencing number of this agent
   * @return completes when the engine has responded; fails as for {@link #load}
   */
  public CompletableFuture<Void> unload(AdapterRef adapter, FencingNumber fencing) {
    ObjectNode order = JSON.createObjectNode();
    order.put("adapter", adapter.toString());
    order.put("fencing", fencing.value());
    return order("/orders/unload", order, adapter);
  }

  /**
   * Cancels a request. An engine keeps a request whose connection was closed, so that it can be
   * resumed; only this frees its slot in the batch.
   *
   * @param requestId the request
   * @return completes when the engine has responded, with any status
   */
  public CompletableFuture<Void> cancel(String requestId) {
    ObjectNode order = JSON.createObjectNode();
    order.put("request_id", requestId);
    byte[] body = order.toString().getBytes(StandardCharsets.UTF_8);
    return send(HttpRequest.postJson(uri.resolve("/v1/cancel"), body), STATE_TIMEOUT_MILLIS)
        .thenAccept(response -> {});
  }

  /**
   * Reads the state of the engine.
   *
   * @return its state; fails with {@code CONNECT_FAILED} when nothing listens at its address
   */
  public CompletableFuture<EngineState> state() {
    return send(HttpRequest.get(uri.resolve("/state")), STATE_TIMEOUT_MILLIS)
        .thenApply(this::parseState);
  }

  private CompletableFuture<Void> order(String path, ObjectNode order, AdapterRef adapter) {
    byte[] body = order.toString().getBytes(StandardCharsets.UTF_8);
    return send(HttpRequest.postJson(uri.resolve(path), body), orderTimeoutMillis)
        .thenAccept(response -> check(response, adapter));
  }

  private void check(HttpResponse response, AdapterRef adapter) {
    if (response.status() == OK) {
      return;
    }
    if (response.status() == CONFLICT && bodyText(response).contains("stale-fencing-number")) {
      throw HornbeamusherException.notRun(FailureType.STALE_FENCING_NUMBER, endpoint);
    }
    throw HornbeamusherException.notRun(FailureType.LOAD_FAILED, adapter);
  }

  private EngineState parseState(HttpResponse response) {
    try {
      JsonNode json = JSON.readTree(response.body());
      Set<AdapterRef> resident = new HashSet<>();
      json.path("resident").forEach(name -> resident.add(AdapterRef.parse(name.asText())));
      return new EngineState(
          json.path("incarnation").asText(),
          resident,
          json.path("running").asInt(),
          json.path("fencing").asLong());
    } catch (IOException | IllegalArgumentException e) {
      throw HornbeamusherException.of(
              FailureType.ENDPOINT_FAILED, Outcome.UNKNOWN, endpoint, "its state cannot be read")
          .causedBy(e);
    }
  }

  private static String bodyText(HttpResponse response) {
    return new String(response.body(), StandardCharsets.UTF_8);
  }
}

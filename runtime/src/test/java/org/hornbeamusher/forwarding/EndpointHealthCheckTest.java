package org.hornbeamusher.forwarding;

import static org.junit.jupiter.api.Assertions.assertEquals;

import io.undertow.Undertow;
import io.undertow.server.HttpServerExchange;
import io.undertow.server.ServerConnection;
import io.undertow.server.protocol.http.HttpServerConnection;
import io.undertow.util.AttachmentKey;
import io.undertow.util.HttpString;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.URI;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;
import org.hornbeamusher.availability.EndpointAvailability;
import org.hornbeamusher.availability.RetryAfter;
import org.hornbeamusher.directory.Endpoint;
import org.hornbeamusher.http.EchoedId;
import org.hornbeamusher.http.HttpClient;
import org.hornbeamusher.http.HttpHead;
import org.hornbeamusher.http.HttpHeader;
import org.hornbeamusher.http.HttpRequest;
import org.hornbeamusher.ids.EndpointId;
import org.hornbeamusher.ids.EndpointIncarnation;
import org.hornbeamusher.placement.EndpointView;
import org.hornbeamusher.ratelimit.AdvertisedRateLimit;
import org.hornbeamusher.routes.Configuration;
import org.hornbeamusher.routes.CurrentConfiguration;
import org.hornbeamusher.routes.ServiceSpec;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Health checks of an endpoint that sends copies of earlier responses. */
class EndpointHealthCheckTest {

  private static final AttachmentKey<Boolean> USED = AttachmentKey.create(Boolean.class);
  private static final String ID = "X-Id";
  private static final String REFUSAL =
      "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n";
  private static final long TIMEOUT_MILLIS = 2_000;

  private final HttpClient http = new HttpClient(1);
  private final List<ServerConnection> connections = new CopyOnWriteArrayList<>();
  private final Undertow server =
      Undertow.builder().addHttpListener(0, "127.0.0.1").setHandler(this::respond).build();
  private URI uri;

  @BeforeEach
  void start() {
    http.start();
    server.start();
    InetSocketAddress bound = (InetSocketAddress) server.getListenerInfo().get(0).getAddress();
    uri = URI.create("http://127.0.0.1:" + bound.getPort());
  }

  @AfterEach
  void stop() {
    http.stop();
    server.stop();
  }

  /** Guards against a check whose response is the copy of the refusal of a request. */
  @Test
  void endpointIsAliveBehindTheCopyOfRefusal() throws Exception {
    http.send(HttpRequest.get(uri), TIMEOUT_MILLIS).join();
    assertEquals(EndpointCheck.Result.ALIVE, check());
  }

  /** Guards against a request whose response is the copy of the response to a check. */
  @Test
  void requestDoesNotFollowCheckOnItsConnection() throws Exception {
    check();
    http.send(HttpRequest.get(uri), TIMEOUT_MILLIS).join();
    assertEquals(2, Set.copyOf(connections).size());
  }

  private EndpointCheck.Result check() throws Exception {
    CurrentConfiguration configuration = new CurrentConfiguration();
    ServiceSpec service = new ServiceSpec("s", "/health", 8, Optional.empty());
    configuration.offer(new Configuration(1, List.of(), List.of(service)), 1);
    Endpoint endpoint =
        new Endpoint(
            new EndpointIncarnation(new EndpointId("e"), 7), "s", uri, "z", 8, false, 0, Set.of());
    return new EndpointHealthCheck(configuration, new IdHeader(), http)
        .check(new EndpointView(endpoint, 0, 0, new EndpointAvailability()))
        .get(TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
  }

  private void respond(HttpServerExchange exchange) throws IOException {
    HttpServerConnection connection = (HttpServerConnection) exchange.getConnection();
    connections.add(connection);
    if (connection.putAttachment(USED, true) != null) {
      ByteBuffer bytes = ByteBuffer.wrap(REFUSAL.getBytes(StandardCharsets.US_ASCII));
      while (bytes.hasRemaining()) {
        connection.getOriginalSinkConduit().write(bytes);
      }
    }
    exchange.getResponseHeaders().put(new HttpString(ID), "e");
    exchange.endExchange();
  }

  /** Reads the id of the endpoint. */
  private static final class IdHeader implements HeaderCodec {

    @Override
    public RequestMetadata parseRequest(List<HttpHeader> headers) {
      throw new AssertionError("not a request of a caller");
    }

    @Override
    public List<HttpHeader> toEndpoint(List<HttpHeader> headers, AttemptMetadata metadata) {
      return headers;
    }

    @Override
    public Optional<EchoedId> echoedId(RequestMetadata metadata) {
      return Optional.empty();
    }

    @Override
    public ResponseMetadata parseResponse(HttpHead head) {
      return new ResponseMetadata(
          Optional.empty(),
          head.first(ID).map(EndpointId::new),
          false,
          false,
          new AdvertisedRateLimit.None(),
          new RetryAfter.None(),
          false);
    }

    @Override
    public List<HttpHeader> toCaller(HttpHead head) {
      return head.headers();
    }
  }
}

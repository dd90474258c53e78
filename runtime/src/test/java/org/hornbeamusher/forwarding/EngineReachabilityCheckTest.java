package org.hornbeamusher.forwarding;

import static org.junit.jupiter.api.Assertions.assertEquals;

import io.undertow.Undertow;
import io.undertow.server.HttpHandler;
import java.net.InetSocketAddress;
import java.net.URI;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.hornbeamusher.availability.EndpointAvailability;
import org.hornbeamusher.directory.Endpoint;
import org.hornbeamusher.http.EchoedId;
import org.hornbeamusher.http.HttpClient;
import org.hornbeamusher.http.HttpHead;
import org.hornbeamusher.http.HttpHeader;
import org.hornbeamusher.ids.EndpointId;
import org.hornbeamusher.ids.EndpointIncarnation;
import org.hornbeamusher.placement.EndpointView;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.xnio.IoUtils;

/** What an entry concludes from its own check of an engine. */
class EngineReachabilityCheckTest {

  private static final String EXPECTED = "X-Expected";

  private final HttpClient client = new HttpClient(1);
  private Undertow server;

  @BeforeEach
  void start() {
    client.start();
  }

  @AfterEach
  void stop() {
    client.stop();
    server.stop();
  }

  @Test
  void engineThatAnswersRuns() throws Exception {
    assertEquals(EndpointCheck.Result.ALIVE, check(exchange -> exchange.endExchange()));
  }

  /** Guards against an engine at its limit of connections that is taken for lost. */
  @Test
  void engineThatEndsTheConnectionRuns() throws Exception {
    assertEquals(
        EndpointCheck.Result.ALIVE, check(exchange -> IoUtils.safeClose(exchange.getConnection())));
  }

  /** Guards against a wait for an engine whose address another endpoint uses by now. */
  @Test
  void engineHasEndedIfAnotherEndpointRefusesTheCheck() throws Exception {
    assertEquals(
        EndpointCheck.Result.ENDED,
        check(
            exchange -> {
              boolean own = "other".equals(exchange.getRequestHeaders().getFirst(EXPECTED));
              exchange.setStatusCode(own ? 200 : 421).endExchange();
            }));
  }

  @Test
  void engineHasEndedIfNothingListens() throws Exception {
    listen(exchange -> {});
    URI uri = uri();
    server.stop();
    assertEquals(EndpointCheck.Result.ENDED, check(uri));
  }

  @Test
  void silentEngineShowsNothing() throws Exception {
    assertEquals(EndpointCheck.Result.UNKNOWN, check(exchange -> exchange.dispatch(() -> {})));
  }

  private EndpointCheck.Result check(HttpHandler handler) throws Exception {
    listen(handler);
    return check(uri());
  }

  private EndpointCheck.Result check(URI uri) throws Exception {
    Endpoint endpoint =
        new Endpoint(
            new EndpointIncarnation(new EndpointId("e"), 7), "s", uri, "z", 8, false, 0, Set.of());
    return new EngineReachabilityCheck("/state", new IdHeader(), client, client.loop())
        .check(new EndpointView(endpoint, 0, 0, new EndpointAvailability()))
        .get(2, TimeUnit.SECONDS);
  }

  private void listen(HttpHandler handler) {
    server = Undertow.builder().addHttpListener(0, "127.0.0.1").setHandler(handler).build();
    server.start();
  }

  private URI uri() {
    InetSocketAddress bound = (InetSocketAddress) server.getListenerInfo().get(0).getAddress();
    return URI.create("http://127.0.0.1:" + bound.getPort());
  }

  /** Names the expected endpoint and reads nothing. */
  private static final class IdHeader implements HeaderCodec {

    @Override
    public RequestMetadata parseRequest(List<HttpHeader> headers) {
      throw new AssertionError("not a request of a caller");
    }

    @Override
    public List<HttpHeader> toEndpoint(List<HttpHeader> headers, AttemptMetadata metadata) {
      return List.of(new HttpHeader(EXPECTED, metadata.endpoint().value()));
    }

    @Override
    public Optional<EchoedId> echoedId(RequestMetadata metadata) {
      return Optional.empty();
    }

    @Override
    public ResponseMetadata parseResponse(HttpHead head) {
      return ResponseMetadata.NONE;
    }

    @Override
    public List<HttpHeader> toCaller(HttpHead head) {
      return head.headers();
    }
  }
}

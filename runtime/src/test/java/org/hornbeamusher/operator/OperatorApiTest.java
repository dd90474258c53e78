package org.hornbeamusher.operator;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.codahale.metrics.MetricRegistry;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import io.undertow.Undertow;
import io.undertow.server.handlers.PathHandler;
import java.net.InetSocketAddress;
import java.net.URI;
import java.nio.charset.StandardCharsets;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.UUID;
import java.util.concurrent.atomic.AtomicInteger;
import org.hornbeamusher.clock.ManualClock;
import org.hornbeamusher.documents.DocumentStore;
import org.hornbeamusher.failure.FailureType;
import org.hornbeamusher.http.HttpClient;
import org.hornbeamusher.http.HttpRequest;
import org.hornbeamusher.http.HttpResponse;
import org.hornbeamusher.ids.AdapterRef;
import org.hornbeamusher.ids.AvailabilityZone;
import org.hornbeamusher.ids.CallerId;
import org.hornbeamusher.ids.EndpointId;
import org.hornbeamusher.ids.InstanceId;
import org.hornbeamusher.ids.OperatorId;
import org.hornbeamusher.ids.PartnerId;
import org.hornbeamusher.ids.PoolName;
import org.hornbeamusher.ids.ServiceName;
import org.hornbeamusher.ids.TeamId;
import org.hornbeamusher.metrics.MetricsReport;
import org.hornbeamusher.metrics.ServiceMetrics;
import org.hornbeamusher.security.Identity;
import org.hornbeamusher.security.TokenDirectory;
import org.hornbeamusher.security.TokenHash;
import org.hornbeamusher.status.ProcessStatus;
import org.hornbeamusher.table.InMemoryTable;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

class OperatorApiTest {

  private static final PartnerId ZARQA = new PartnerId("zarqa");
  private static final PartnerId TAWHITI = new PartnerId("tawhiti");
  private static final ServiceName HAUL = new ServiceName("haul-api");
  private static final ServiceName TRADE = new ServiceName("tradedesk-app");
  private static final ServiceName VALUER = new ServiceName("valuer-llm");
  private static final String DOCUMENT =
      """
      service = "haul-api"
      partner = "zarqa"
      team = "haulage"
      pool = "haul-servers"
      [plain]
      concurrency =\
      """;

  private static final long TIMEOUT_MILLIS = 10_000;

  private final InMemoryTable table = new InMemoryTable();
  private final DocumentStore store =
      new DocumentStore(table, new ManualClock(5_000), () -> UUID.randomUUID().toString());
  private final ServiceMetrics metrics = new ServiceMetrics(new MetricRegistry());
  private final AtomicInteger drains = new AtomicInteger();
  private final HttpClient client = new HttpClient(1);
  private Undertow server;
  private URI base;

  private static TokenDirectory.Entry operator(
      String name, PartnerId partner, String team, boolean mayDrain) {
    Identity identity =
        new Identity.Operator(new OperatorId(name), partner, new TeamId(team), mayDrain);
    return new TokenDirectory.Entry(TokenHash.ofToken(name + "-token"), identity);
  }

  private static TokenDirectory tokens() {
    Identity caller = new Identity.Caller(new CallerId("desk"), ZARQA, Set.of());
    return new TokenDirectory(
        List.of(
            operator("haulage", ZARQA, "haulage", true),
            operator("dispatch", ZARQA, "dispatch-models", false),
            operator("trade", TAWHITI, "trade-desk", false),
            new TokenDirectory.Entry(TokenHash.ofToken("desk-token"), caller)));
  }

  @BeforeEach
  void start() {
    OperatorApi api = new OperatorApi(new Host(), tokens(), new MetricsReport(metrics));
    server =
        Undertow.builder()
            .addHttpListener(0, "127.0.0.1")
            .setIoThreads(1)
            .setWorkerThreads(1)
            .setHandler(api.mount(new PathHandler()))
            .build();
    server.start();
    InetSocketAddress address = (InetSocketAddress) server.getListenerInfo().get(0).getAddress();
    base = URI.create("http://127.0.0.1:" + address.getPort());
    client.start();
  }

  @AfterEach
  void stop() {
    client.stop();
    server.stop();
  }

  private HttpResponse call(String who, String method, String path, String body) {
    Map<String, String> headers =
        who.isEmpty() ? Map.of() : Map.of("Authorization", "Bearer " + who + "-token");
    byte[] bytes = body.getBytes(StandardCharsets.UTF_8);
    return client
        .send(new HttpRequest(method, base.resolve(path), headers, bytes), TIMEOUT_MILLIS)
        .join();
  }

  private static String text(HttpResponse response) {
    return new String(response.body(), StandardCharsets.UTF_8);
  }

  private static JsonNode json(HttpResponse response) throws Exception {
    return new ObjectMapper().readTree(text(response));
  }

  private static void assertRefused(FailureType type, HttpResponse response) throws Exception {
    assertEquals(type.label(), json(response).at("/error/type").asText(), text(response));
    assertEquals(type.httpStatus(), response.status());
  }

  private static String document(int concurrency) {
    return DOCUMENT + concurrency + "\n";
  }

  private HttpResponse submit(String who, int base, String text) {
    return call(who, "POST", "/operator/documents/haul-api?base=" + base, text);
  }

  @Test
  void ownerSubmitsShowsAndListsChanges() throws Exception {
    assertEquals(1, json(submit("haulage", 0, document(8))).path("version").asInt());
    assertEquals(2, json(submit("haulage", 1, document(9))).path("version").asInt());
    JsonNode shown = json(call("dispatch", "GET", "/operator/documents/haul-api", ""));
    assertEquals(document(9), shown.path("text").asText());
    JsonNode history = json(call("haulage", "GET", "/operator/history/haul-api?after=1", ""));
    assertEquals(1, history.size());
    assertEquals(2, history.path(0).path("version").asInt());
    assertEquals(5_000, history.path(0).path("accepted_ms").asLong());
  }

  /**
   * Two operators of one team edit the same version; the second one must get a conflict instead of
   * overwriting the first one's change.
   */
  @Test
  void staleBaseIsConflict() throws Exception {
    submit("haulage", 0, document(8));
    submit("haulage", 1, document(9));
    assertRefused(FailureType.DOCUMENT_CONFLICT, submit("haulage", 1, document(10)));
  }

  /**
   * Other teams, one of the same partner and one of the other partner, try to change a document. It
   * must remain unchanged, and its owner must find their attempts in the audit trail.
   */
  @Test
  void otherTeamsAreRefusedAndTheirAttemptsAreKeptForTheOwner() throws Exception {
    submit("haulage", 0, document(8));
    assertRefused(FailureType.DOCUMENT_FORBIDDEN, submit("dispatch", 1, document(1)));
    assertRefused(FailureType.DOCUMENT_FORBIDDEN, submit("trade", 1, document(1)));
    assertRefused(
        FailureType.DOCUMENT_FORBIDDEN,
        call("trade", "DELETE", "/operator/documents/haul-api?base=1", ""));
    JsonNode shown = json(call("haulage", "GET", "/operator/documents/haul-api", ""));
    assertEquals(document(8), shown.path("text").asText());
    JsonNode attempts = json(call("haulage", "GET", "/operator/attempts/haul-api", ""));
    assertEquals(3, attempts.size(), attempts.toString());
    Set<String> teams = new HashSet<>();
    attempts.forEach(attempt -> teams.add(attempt.path("team").asText()));
    assertEquals(Set.of("dispatch-models", "trade-desk"), teams);
  }

  /** The other partner's operator reads every path; no data of partner Zarqa may be visible. */
  @Test
  void otherPartnerReadsNothing() throws Exception {
    submit("haulage", 0, document(8));
    metrics.recordResponse(HAUL, 0, 1, 2);
    metrics.recordResponse(TRADE, 0, 1, 2);
    assertRefused(
        FailureType.DOCUMENT_FORBIDDEN, call("trade", "GET", "/operator/documents/haul-api", ""));
    assertRefused(
        FailureType.DOCUMENT_FORBIDDEN, call("trade", "GET", "/operator/history/haul-api", ""));
    assertEquals("[]", text(call("trade", "GET", "/operator/attempts/haul-api", "")));
    for (String path :
        List.of("/metrics", "/metrics?format=prometheus", "/status", "/status.txt")) {
      String seen = text(call("trade", "GET", path, ""));
      assertTrue(seen.contains("tradedesk-app"), path + seen);
      assertFalse(seen.contains("haul-api") || seen.contains("zarqa"), path + seen);
    }
    String page = text(call("trade", "GET", "/status.html", ""));
    assertTrue(page.contains("tradedesk-app") && !page.contains("haul-api"), page);
  }

  @Test
  void residentAdaptersOfOtherPartnersAreRemoved() throws Exception {
    JsonNode seen = json(call("haulage", "GET", "/status", ""));
    assertEquals(0, seen.at("/endpoints/0/resident").size());
    assertEquals(3, seen.at("/endpoints/0/running").asInt());
    assertEquals(0, seen.at("/quarantined").size());
  }

  /**
   * A leaked caller token must not give access to any path, and neither must a missing or unknown
   * token.
   */
  @Test
  void callersAndUnknownTokensAreRejectedEverywhere() throws Exception {
    for (String path :
        List.of("/status", "/metrics", "/operator/documents/haul-api", "/operator/history/x")) {
      assertRefused(FailureType.FORBIDDEN, call("desk", "GET", path, ""));
      assertRefused(FailureType.UNAUTHENTICATED, call("", "GET", path, ""));
      assertRefused(FailureType.UNAUTHENTICATED, call("nobody", "GET", path, ""));
    }
    assertRefused(FailureType.FORBIDDEN, call("desk", "POST", "/operator/drain", ""));
  }

  /** Draining takes capacity from both partners, so the operator role alone must not permit it. */
  @Test
  void drainNeedsTheRightToDrain() throws Exception {
    assertRefused(FailureType.FORBIDDEN, call("trade", "POST", "/operator/drain", ""));
    assertEquals(0, drains.get());
    assertEquals(200, call("haulage", "POST", "/operator/drain", "").status());
    assertEquals(1, drains.get());
  }

  @Test
  void invalidInputReturnsTypedFailure() throws Exception {
    assertRefused(
        FailureType.MALFORMED_REQUEST,
        call("haulage", "POST", "/operator/documents/haul-api?base=-1", document(8)));
    assertRefused(
        FailureType.UNKNOWN_PATH, call("haulage", "GET", "/operator/documents/UPPER", ""));
    assertRefused(FailureType.UNKNOWN_PATH, call("haulage", "PUT", "/status", ""));
    assertRefused(
        FailureType.DOCUMENT_INVALID,
        call("haulage", "POST", "/operator/documents/other?base=0", document(8)));
    assertRefused(FailureType.DOCUMENT_INVALID, submit("haulage", 0, "x = 1"));
    assertRefused(
        FailureType.DOCUMENT_UNKNOWN, call("haulage", "GET", "/operator/documents/none", ""));
  }

  /**
   * While the table is unavailable, the operator gets a typed failure and the process continues to
   * serve.
   */
  @Test
  void unavailableTableReturnsTypedFailure() throws Exception {
    table.down(true);
    assertRefused(FailureType.PLATFORM_UNAVAILABLE, submit("haulage", 0, document(8)));
    assertEquals(200, call("haulage", "GET", "/status", "").status());
  }

  private final class Host implements OperatorHost {

    @Override
    public Optional<DocumentStore> documents() {
      return Optional.of(store);
    }

    @Override
    public Optional<PartnerId> owner(ServiceName service) {
      return Optional.of(service.equals(HAUL) ? ZARQA : TAWHITI);
    }

    @Override
    public ProcessStatus status() {
      AvailabilityZone zone = new AvailabilityZone("z-1");
      return new ProcessStatus(
          new InstanceId("entry-1"),
          "entry",
          zone,
          false,
          4,
          List.of(
              new ProcessStatus.EndpointStatus(
                  new EndpointId("engine-1"),
                  zone,
                  new PoolName("engines"),
                  true,
                  3,
                  16,
                  0,
                  8,
                  List.of(AdapterRef.parse("valuer-llm/ute@2")))),
          List.of(
              new ProcessStatus.ServiceStatus(
                  HAUL, ZARQA, 1, 10, Map.of(FailureType.QUEUE_FULL, 2L)),
              new ProcessStatus.ServiceStatus(TRADE, TAWHITI, 3, 20, Map.of())),
          List.of(new ProcessStatus.QuarantinedRequest(VALUER, "0badcafe", 9_000)));
    }

    @Override
    public void drain() {
      drains.incrementAndGet();
    }
  }
}

package org.hornbeamusher.entry;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.undertow.server.HttpHandler;
import io.undertow.server.HttpServerExchange;
import io.undertow.server.RequestTooBigException;
import io.undertow.util.Headers;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.Comparator;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ExecutorService;
import org.hornbeamusher.clock.Clock;
import org.hornbeamusher.documents.ServiceDocument;
import org.hornbeamusher.failure.FailureType;
import org.hornbeamusher.failure.HornbeamusherException;
import org.hornbeamusher.ids.AdapterRef;
import org.hornbeamusher.ids.IdempotencyKey;
import org.hornbeamusher.ids.InvalidIdentifierException;
import org.hornbeamusher.ids.RequestId;
import org.hornbeamusher.ids.ServiceName;
import org.hornbeamusher.memory.MemoryBudget;
import org.hornbeamusher.memory.MemoryReservation;
import org.hornbeamusher.quarantine.RequestFingerprint;
import org.hornbeamusher.security.Identity;
import org.hornbeamusher.security.TokenDirectory;
import org.hornbeamusher.server.RequestBodyReader;

/**
 * Serves the callers' HTTP API: completions, chat completions, the list of models, and the plain
 * services under {@code /services/}.
 *
 * <p>Each request runs on its own virtual thread once its body has arrived. Until then it occupies
 * only a few kilobytes in Undertow, so that slow senders hold no thread.
 */
final class CallerApi implements HttpHandler {

  private static final String COMPLETIONS = "/v1/completions";
  private static final String CHAT = "/v1/chat/completions";
  private static final String MODELS = "/v1/models";
  private static final String SERVICES = "/services/";
  private static final ObjectMapper JSON = new ObjectMapper();

  /** Length of the prompt prefix whose hash identifies a shared cached prefix, in characters. */
  private static final int PREFIX_CHARACTERS = 256;

  /**
   * Cost of a plain request in tokens: about what an engine generates in the few hundred
   * milliseconds that such a request takes.
   */
  private static final int PLAIN_REQUEST_COST_TOKENS = 16;

  /** Retry-After of an entry whose limit of requests in flight is reached. */
  private static final long FULL_RETRY_MILLIS = 1_000;

  /** The functions of the entry that the API uses. */
  interface Host {

    /** Returns the current document of a service. */
    Optional<ServiceDocument> currentDocument(ServiceName service);

    /** Returns the current documents of all services. */
    Iterable<ServiceDocument> currentDocuments();

    /** Tells whether the entry is leaving and accepts no new requests. */
    boolean leaving();

    /** Adds a change to the number of requests in flight and returns the new number. */
    int adjustInFlight(int change);

    /** Returns the limit of requests in flight. */
    int maxInFlight();

    /** Called for each request that ended in a failure. */
    void requestFailed(ServiceName service, HornbeamusherException failure);
  }

  private final Host host;
  private final TokenDirectory tokens;
  private final RequestRunner runner;
  private final RequestIds ids;
  private final ExecutorService executor;
  private final Clock clock;
  private final int bodyBytes;
  private final long stallTimeoutMillis;
  private final MemoryBudget memory = MemoryBudget.ofHeap();

  CallerApi(
      Host host,
      TokenDirectory tokens,
      RequestRunner runner,
      ExecutorService executor,
      Clock clock,
      int bodyBytes,
      long stallTimeoutMillis) {
    this.host = host;
    this.tokens = tokens;
    this.runner = runner;
    this.ids = new RequestIds(clock);
    this.executor = executor;
    this.clock = clock;
    this.bodyBytes = bodyBytes;
    this.stallTimeoutMillis = stallTimeoutMillis;
  }

  @Override
  public void handleRequest(HttpServerExchange exchange) {
    exchange.setMaxEntitySize(bodyBytes);
    RequestBodyReader.read(exchange, memory, new BodyListener(exchange));
  }

  private void serve(HttpServerExchange exchange, byte[] body, MemoryReservation held) {
    RequestId id = ids.next();
    exchange.getResponseHeaders().put(CallerHeaders.REQUEST_ID, id.value());
    CallerSink sink = new CallerSink(exchange, stallTimeoutMillis);
    int inFlight = host.adjustInFlight(1);
    try {
      if (inFlight > host.maxInFlight()) {
        throw HornbeamusherException.notRun(FailureType.QUEUE_FULL, "this entry")
            .retryAfter(FULL_RETRY_MILLIS);
      }
      if (host.leaving()) {
        throw HornbeamusherException.notRun(FailureType.SHUTTING_DOWN);
      }
      route(exchange, body, id, sink);
    } catch (HornbeamusherException refused) {
      writeFailure(exchange, sink, id, refused);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      writeFailure(exchange, sink, id, RequestRunner.interrupted().causedBy(e));
    } catch (RuntimeException e) {
      writeFailure(exchange, sink, id, HornbeamusherException.from(e));
    } finally {
      host.adjustInFlight(-1);
      held.release();
    }
  }

  private void refuse(HttpServerExchange exchange, HornbeamusherException failure) {
    writeFailure(exchange, new CallerSink(exchange, stallTimeoutMillis), ids.next(), failure);
  }

  private void route(HttpServerExchange exchange, byte[] body, RequestId id, CallerSink sink)
      throws InterruptedException {
    Identity.Caller caller =
        tokens.caller(exchange.getRequestHeaders().getFirst(Headers.AUTHORIZATION));
    String path = exchange.getRequestPath();
    if (path.equals(COMPLETIONS) || path.equals(CHAT)) {
      requireMethod(exchange, "POST");
      serveCompletion(exchange, caller, ModelRequest.parse(body, path.equals(CHAT)), id, sink);
    } else if (path.equals(MODELS)) {
      requireMethod(exchange, "GET");
      listModels(exchange, caller, sink);
    } else if (path.startsWith(SERVICES)) {
      servePlainService(exchange, caller, body, id, sink);
    } else {
      throw HornbeamusherException.notRun(FailureType.UNKNOWN_PATH, path);
    }
  }

  private void serveCompletion(
      HttpServerExchange exchange,
      Identity.Caller caller,
      ModelRequest request,
      RequestId id,
      CallerSink sink)
      throws InterruptedException {
    ServiceName service = ModelName.service(request.model());
    ServiceDocument document = requireDocument(caller, service, request.model());
    AdapterRef adapter = ModelName.resolve(request.model(), document);
    if (request.maxTokens() > document.limits().maximumTokens()) {
      throw HornbeamusherException.notRun(
          FailureType.MALFORMED_REQUEST,
          "max_tokens is greater than " + document.limits().maximumTokens());
    }
    byte[] body = request.endpointBody(adapter);
    AdmittedRequest admitted =
        new AdmittedRequest(
            id,
            document,
            caller.id(),
            Optional.of(adapter),
            new AdmittedRequest.EndpointCall("POST", COMPLETIONS, "application/json", body),
            fingerprint(service, adapter.toString(), request),
            prefixHash(request.prompt()),
            request.costTokens(),
            request.maxTokens(),
            deadline(exchange, document),
            idempotencyKey(exchange, false));
    ResponseWriter writer =
        request.stream()
            ? new StreamedResponseWriter(exchange, sink, id.value(), request.chat())
            : new BufferedResponseWriter(exchange, sink, id.value(), request.chat());
    runner.run(admitted, writer).ifPresent(failure -> host.requestFailed(service, failure));
  }

  private void servePlainService(
      HttpServerExchange exchange,
      Identity.Caller caller,
      byte[] body,
      RequestId id,
      CallerSink sink)
      throws InterruptedException {
    String rest = exchange.getRequestPath().substring(SERVICES.length());
    int slash = rest.indexOf('/');
    String name = slash < 0 ? rest : rest.substring(0, slash);
    String path = slash < 0 ? "/" : rest.substring(slash);
    ServiceName service = ModelName.service(name + "/");
    ServiceDocument document = requireDocument(caller, service, name);
    if (!(document.kind() instanceof ServiceDocument.ServiceKind.Plain kind)) {
      throw HornbeamusherException.notRun(FailureType.UNKNOWN_PATH, exchange.getRequestPath());
    }
    String method = exchange.getRequestMethod().toString();
    boolean nonRepeatable =
        kind.nonRepeatable().stream()
            .anyMatch(call -> call.method().equals(method) && path.startsWith(call.pathPrefix()));
    String query = exchange.getQueryString();
    String target = query.isEmpty() ? path : path + "?" + query;
    String contentType =
        Optional.ofNullable(exchange.getRequestHeaders().getFirst(Headers.CONTENT_TYPE)).orElse("");
    AdmittedRequest admitted =
        new AdmittedRequest(
            id,
            document,
            caller.id(),
            Optional.empty(),
            new AdmittedRequest.EndpointCall(method, target, contentType, body),
            RequestFingerprint.of(service.value(), method + " " + target, body, Map.of()),
            0,
            PLAIN_REQUEST_COST_TOKENS,
            0,
            deadline(exchange, document),
            idempotencyKey(exchange, nonRepeatable));
    PlainResponseWriter writer = new PlainResponseWriter(exchange, sink, id.value());
    runner.run(admitted, writer).ifPresent(failure -> host.requestFailed(service, failure));
  }

  private void listModels(HttpServerExchange exchange, Identity.Caller caller, CallerSink sink) {
    ObjectNode list = JSON.createObjectNode();
    list.put("object", "list");
    ArrayNode data = list.putArray("data");
    for (ServiceDocument document : host.currentDocuments()) {
      if (caller.mayCall(document.service(), document.partner())
          && document.kind() instanceof ServiceDocument.ServiceKind.Model model) {
        model.adapters().entrySet().stream()
            .sorted(Comparator.comparing(entry -> entry.getKey()))
            .forEach(
                entry ->
                    data.addObject()
                        .put(
                            "id",
                            document.service()
                                + "/"
                                + entry.getKey()
                                + "@"
                                + entry.getValue().current())
                        .put("object", "model")
                        .put("owned_by", document.team().value()));
      }
    }
    byte[] bytes = list.toString().getBytes(StandardCharsets.UTF_8);
    exchange.getResponseHeaders().put(Headers.CONTENT_TYPE, "application/json");
    exchange.setResponseContentLength(bytes.length);
    sink.write(bytes);
    sink.end();
  }

  /** Returns the service's document; a service of another partner is reported as unknown. */
  private ServiceDocument requireDocument(
      Identity.Caller caller, ServiceName service, String named) {
    ServiceDocument document =
        host.currentDocument(service)
            .filter(found -> found.partner().equals(caller.partner()))
            .orElseThrow(() -> HornbeamusherException.notRun(FailureType.UNKNOWN_MODEL, named));
    if (!caller.mayCall(service, document.partner())) {
      throw HornbeamusherException.notRun(FailureType.FORBIDDEN, service);
    }
    return document;
  }

  private long deadline(HttpServerExchange exchange, ServiceDocument document) {
    String header = exchange.getRequestHeaders().getFirst(CallerHeaders.DEADLINE);
    long millis = document.limits().defaultDeadlineMillis();
    if (header != null) {
      millis = parseDeadline(header);
    }
    return clock.millis() + Math.min(millis, document.limits().maximumDeadlineMillis());
  }

  private static long parseDeadline(String header) {
    try {
      long millis = Long.parseLong(header.strip());
      if (millis > 0) {
        return millis;
      }
    } catch (NumberFormatException e) {
      throw invalid(CallerHeaders.DEADLINE.toString(), "it must be a number of milliseconds")
          .causedBy(e);
    }
    throw invalid(CallerHeaders.DEADLINE.toString(), "it must be positive");
  }

  private static Optional<IdempotencyKey> idempotencyKey(
      HttpServerExchange exchange, boolean declaredNonRepeatable) {
    String repeatable = exchange.getRequestHeaders().getFirst(CallerHeaders.REPEATABLE);
    if (repeatable != null && !repeatable.equals("true") && !repeatable.equals("false")) {
      throw invalid(CallerHeaders.REPEATABLE.toString(), "it must be true or false");
    }
    if (!declaredNonRepeatable && !"false".equals(repeatable)) {
      return Optional.empty();
    }
    String key = exchange.getRequestHeaders().getFirst(CallerHeaders.IDEMPOTENCY_KEY);
    if (key == null) {
      throw HornbeamusherException.notRun(FailureType.CLAIM_KEY_MISSING);
    }
    try {
      return Optional.of(new IdempotencyKey(key));
    } catch (InvalidIdentifierException e) {
      throw invalid(CallerHeaders.IDEMPOTENCY_KEY.toString(), "it must be 1 to 128 characters")
          .causedBy(e);
    }
  }

  private static long fingerprint(ServiceName service, String adapter, ModelRequest request) {
    return RequestFingerprint.of(
        service.value(),
        adapter,
        request.prompt().getBytes(StandardCharsets.UTF_8),
        Map.of("max_tokens", Integer.toString(request.maxTokens())));
  }

  private static long prefixHash(String prompt) {
    String prefix = prompt.substring(0, Math.min(PREFIX_CHARACTERS, prompt.length()));
    return prefix.length() < PREFIX_CHARACTERS ? 0 : prefix.hashCode();
  }

  private static void requireMethod(HttpServerExchange exchange, String method) {
    if (!exchange.getRequestMethod().toString().equals(method)) {
      throw HornbeamusherException.notRun(
          FailureType.METHOD_NOT_ALLOWED, exchange.getRequestMethod(), exchange.getRequestPath());
    }
  }

  private static HornbeamusherException invalid(String header, String why) {
    return HornbeamusherException.notRun(FailureType.INVALID_HEADER, header, why);
  }

  private static void writeFailure(
      HttpServerExchange exchange, CallerSink sink, RequestId id, HornbeamusherException failure) {
    if (exchange.isResponseStarted()) {
      sink.abort();
      return;
    }
    FailureResponse.head(exchange, failure);
    byte[] body = FailureResponse.body(failure, id.value());
    exchange.setResponseContentLength(body.length);
    try {
      sink.write(body);
      sink.end();
    } catch (HornbeamusherException gone) {
      sink.abort();
    }
  }

  /** Serves a request on a virtual thread once its body is complete, or refuses it. */
  private final class BodyListener implements RequestBodyReader.Listener {

    private final HttpServerExchange exchange;

    BodyListener(HttpServerExchange exchange) {
      this.exchange = exchange;
    }

    @Override
    public void received(byte[] body, MemoryReservation held) {
      exchange.dispatch(executor, () -> serve(exchange, body, held));
    }

    @Override
    public void memoryFull() {
      refuseLater(
          HornbeamusherException.notRun(FailureType.MEMORY_FULL).retryAfter(FULL_RETRY_MILLIS));
    }

    @Override
    public void failed(IOException cause) {
      refuseLater(
          cause instanceof RequestTooBigException
              ? HornbeamusherException.notRun(FailureType.BODY_TOO_LARGE, bodyBytes)
              : HornbeamusherException.notRun(FailureType.SLOW_CALLER).causedBy(cause));
    }

    private void refuseLater(HornbeamusherException failure) {
      exchange.dispatch(executor, () -> refuse(exchange, failure));
    }
  }
}

package org.hornbeamusher.forwarding;

import io.undertow.Undertow;
import io.undertow.UndertowOptions;
import io.undertow.server.HttpServerExchange;
import io.undertow.util.HeaderMap;
import io.undertow.util.HeaderValues;
import io.undertow.util.Headers;
import io.undertow.util.SameThreadExecutor;
import io.undertow.util.StatusCodes;
import java.util.ArrayList;
import java.util.List;
import java.util.function.BiConsumer;
import java.util.function.BooleanSupplier;
import org.hornbeamusher.clock.Clock;
import org.hornbeamusher.http.HttpHeader;
import org.xnio.Options;
import org.xnio.XnioWorker;

/** The entry's two listeners: callers' requests, and whether the entry takes callers. */
final class ForwardServer {

  /** Callers reuse a connection that was idle for up to 12 s; closing earlier would cross them. */
  private static final int IDLE_MILLIS = 30_000;

  /** A head that takes longer is not coming; callers stay well below. */
  private static final int HEAD_MILLIS = 10_000;

  private static final long MOST_BODY_BYTES = 4L * 1024 * 1024;
  private static final int MOST_HEAD_BYTES = 32 * 1024;

  private final ForwardSettings settings;
  private final XnioWorker worker;
  private final Clock clock;
  private final BiConsumer<CallerRequest, CallerAnswer> accept;
  private final BooleanSupplier ready;
  private Undertow callers;
  private Undertow readiness;

  ForwardServer(
      ForwardSettings settings,
      XnioWorker worker,
      Clock clock,
      BiConsumer<CallerRequest, CallerAnswer> accept,
      BooleanSupplier ready) {
    this.settings = settings;
    this.worker = worker;
    this.clock = clock;
    this.accept = accept;
    this.ready = ready;
  }

  void start() {
    callers =
        Undertow.builder()
            .setWorker(worker)
            .setSocketOption(Options.TCP_NODELAY, true)
            .setSocketOption(Options.BACKLOG, 1_024)
            .setServerOption(UndertowOptions.NO_REQUEST_TIMEOUT, IDLE_MILLIS)
            .setServerOption(UndertowOptions.REQUEST_PARSE_TIMEOUT, HEAD_MILLIS)
            .setServerOption(UndertowOptions.MAX_ENTITY_SIZE, MOST_BODY_BYTES)
            .setServerOption(UndertowOptions.MAX_HEADER_SIZE, MOST_HEAD_BYTES)
            .setServerOption(UndertowOptions.DECODE_URL, false)
            .setServerOption(UndertowOptions.ALLOW_UNESCAPED_CHARACTERS_IN_URL, true)
            .setServerOption(UndertowOptions.ALWAYS_SET_DATE, false)
            .addHttpListener(settings.callers().getPort(), settings.callers().getHostString())
            .setHandler(this::handle)
            .build();
    callers.start();
    readiness =
        Undertow.builder()
            .setWorker(worker)
            .addHttpListener(settings.readiness().getPort(), settings.readiness().getHostString())
            .setHandler(this::answerReadiness)
            .build();
    readiness.start();
  }

  void stop() {
    callers.stop();
    readiness.stop();
  }

  private void answerReadiness(HttpServerExchange exchange) {
    exchange.setStatusCode(ready.getAsBoolean() ? StatusCodes.OK : StatusCodes.SERVICE_UNAVAILABLE);
    exchange.endExchange();
  }

  private void handle(HttpServerExchange exchange) {
    long arrived = clock.millis();
    if (ambiguous(exchange.getRequestHeaders())) {
      exchange.setPersistent(false);
      exchange.setStatusCode(StatusCodes.BAD_REQUEST);
      exchange.endExchange();
      return;
    }
    exchange
        .getRequestReceiver()
        .receiveFullBytes(
            (whole, body) ->
                whole.dispatch(SameThreadExecutor.INSTANCE, () -> serve(whole, body, arrived)),
            (broken, e) -> {
              broken.setPersistent(false);
              broken.setStatusCode(StatusCodes.REQUEST_ENTITY_TOO_LARGE);
              broken.endExchange();
            });
  }

  /**
   * Two statements of a body's length: another reader of the same bytes may believe the other one
   * and find a request that no caller sent in what this one takes for the body.
   */
  private static boolean ambiguous(HeaderMap headers) {
    HeaderValues lengths = headers.get(Headers.CONTENT_LENGTH);
    boolean chunked = headers.contains(Headers.TRANSFER_ENCODING);
    return lengths != null && (lengths.size() > 1 || chunked);
  }

  private void serve(HttpServerExchange exchange, byte[] body, long arrived) {
    CallerRequest request =
        new CallerRequest(
            exchange.getRequestMethod().toString(),
            hostOf(exchange),
            targetOf(exchange),
            headersOf(exchange.getRequestHeaders()),
            body,
            arrived);
    accept.accept(request, new CallerAnswer(exchange));
  }

  private static String hostOf(HttpServerExchange exchange) {
    String written = exchange.getRequestHeaders().getFirst(Headers.HOST);
    return written == null ? "" : written;
  }

  private static String targetOf(HttpServerExchange exchange) {
    String path = exchange.getRequestURI();
    String query = exchange.getQueryString();
    return query.isEmpty() ? path : path + "?" + query;
  }

  private static List<HttpHeader> headersOf(HeaderMap map) {
    List<HttpHeader> headers = new ArrayList<>();
    for (HeaderValues values : map) {
      String name = values.getHeaderName().toString();
      values.forEach(value -> headers.add(new HttpHeader(name, value)));
    }
    return headers;
  }
}

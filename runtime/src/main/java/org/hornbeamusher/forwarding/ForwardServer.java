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
import org.hornbeamusher.events.EventLog;
import org.hornbeamusher.events.EventType;
import org.hornbeamusher.failure.FailureType;
import org.hornbeamusher.http.HttpHeader;
import org.hornbeamusher.loop.EventLoop;
import org.xnio.Options;
import org.xnio.XnioWorker;

/** The entry's two listeners: callers' requests, and whether the entry takes callers. */
final class ForwardServer {

  /** Callers reuse a connection that was idle for up to 12 s; closing earlier would cross them. */
  private static final int IDLE_MILLIS = 30_000;

  /** A head that takes longer is not coming; callers stay well below. */
  private static final int HEAD_MILLIS = 10_000;

  /** Callers who waited unread come in soon after the first, and some have given up meanwhile. */
  private static final long WAITED_MILLIS = 2_000;

  /** A line for each of hundreds of callers a second would take the time that a start needs. */
  private static final long TURNED_AWAY_LINE_MILLIS = 100;

  private static final String RETRY_AFTER =
      CallerAnswer.seconds(ReturnTime.millis(FailureType.NOT_READY, 0));

  private static final long MOST_BODY_BYTES = 4L * 1024 * 1024;
  private static final int MOST_HEAD_BYTES = 32 * 1024;

  private final ForwardSettings settings;
  private final XnioWorker worker;
  private final Clock clock;
  private final BiConsumer<CallerRequest, CallerAnswer> accept;
  private final BooleanSupplier configured;
  private final BooleanSupplier ready;
  private final EventLoop loop;

  /** Whether callers are taken in; they are from then on. */
  private boolean open;

  private long openedMillis;

  /** Callers who were refused and of whom no line tells yet. */
  private int turnedAway;

  private Undertow callers;
  private Undertow readiness;

  ForwardServer(
      ForwardSettings settings,
      XnioWorker worker,
      Clock clock,
      EventLoop loop,
      BiConsumer<CallerRequest, CallerAnswer> accept,
      BooleanSupplier configured,
      BooleanSupplier ready) {
    this.settings = settings;
    this.worker = worker;
    this.clock = clock;
    this.loop = loop;
    this.accept = accept;
    this.configured = configured;
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
    callers.getListenerInfo().forEach(Undertow.ListenerInfo::suspend);
    loop.after(settings.holdMillis(), this::open);
    readiness =
        Undertow.builder()
            .setWorker(worker)
            .addHttpListener(settings.readiness().getPort(), settings.readiness().getHostString())
            .setHandler(this::answerReadiness)
            .build();
    readiness.start();
  }

  /**
   * Takes callers in.
   *
   * <p>After a loss of power all of them knock at entries that are still starting. Refused at once,
   * they spend their one repeat on the next entry, which is starting too, and refusing hundreds of
   * them takes the time in which the configuration could have been read. So until it is in force,
   * their connections are made by the system and wait unread, for a short time at the most.
   */
  void open() {
    if (!open) {
      open = true;
      openedMillis = clock.millis();
      callers.getListenerInfo().forEach(Undertow.ListenerInfo::resume);
    }
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
    if (!configured.getAsBoolean()) {
      turnAway(exchange);
      return;
    }
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

  /** Nothing is looked at that would cost time: what is waited for is the store's answer. */
  private void turnAway(HttpServerExchange exchange) {
    if (turnedAway == 0) {
      loop.after(TURNED_AWAY_LINE_MILLIS, this::logTurnedAway);
    }
    turnedAway++;
    exchange.setStatusCode(StatusCodes.SERVICE_UNAVAILABLE);
    exchange.getResponseHeaders().put(Headers.RETRY_AFTER, RETRY_AFTER);
    exchange.endExchange();
  }

  private void logTurnedAway() {
    EventLog.log(EventType.REQUESTS_TURNED_AWAY, "cause", "not-ready", "requests", turnedAway);
    turnedAway = 0;
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
    CallerAnswer caller = new CallerAnswer(exchange);
    boolean mayHaveWaited = arrived - openedMillis < WAITED_MILLIS;
    if (!mayHaveWaited || !caller.goneAlready()) {
      accept.accept(request, caller);
    }
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

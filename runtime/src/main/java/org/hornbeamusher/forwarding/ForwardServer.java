package org.hornbeamusher.forwarding;

import io.undertow.Undertow;
import io.undertow.UndertowOptions;
import io.undertow.server.HttpServerExchange;
import io.undertow.util.HeaderMap;
import io.undertow.util.HeaderValues;
import io.undertow.util.Headers;
import io.undertow.util.SameThreadExecutor;
import io.undertow.util.StatusCodes;
import java.io.IOException;
import java.net.SocketTimeoutException;
import java.util.ArrayList;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import java.util.function.BiConsumer;
import java.util.function.BooleanSupplier;
import org.hornbeamusher.clock.Clock;
import org.hornbeamusher.events.EventLog;
import org.hornbeamusher.events.EventType;
import org.hornbeamusher.failure.FailureType;
import org.hornbeamusher.failure.HornbeamusherException;
import org.hornbeamusher.http.HttpHeader;
import org.hornbeamusher.loop.EventLoop;
import org.hornbeamusher.memory.MemoryBudget;
import org.hornbeamusher.memory.MemoryReservation;
import org.hornbeamusher.server.RequestBodyReader;
import org.xnio.IoUtils;
import org.xnio.Options;
import org.xnio.XnioWorker;

/** The entry's two HTTP listeners: one for callers and one for readiness checks. */
final class ForwardServer {

  /** Callers reuse connections idle for up to 12 s; a shorter timeout would race with requests. */
  private static final int IDLE_TIMEOUT_MILLIS = 30_000;

  /** Timeout for reading a request head; callers take far less. */
  private static final int HEAD_TIMEOUT_MILLIS = 10_000;

  /** Requests that were held at startup arrive within this time; some callers have given up. */
  private static final long HELD_REQUESTS_MILLIS = 2_000;

  /** A log line for each of hundreds of refusals a second would delay the startup. */
  private static final long REFUSAL_LOG_MILLIS = 100;

  private static final String RETRY_AFTER =
      CallerResponse.seconds(RetryAfterPolicy.millis(FailureType.NOT_READY, 0));

  private static final long MAX_BODY_BYTES = 4L * 1024 * 1024;
  private static final int MAX_HEAD_BYTES = 32 * 1024;

  private final ForwardSettings settings;
  private final XnioWorker worker;
  private final Clock clock;
  private final BiConsumer<CallerRequest, CallerResponse> accept;
  private final BooleanSupplier configured;
  private final BooleanSupplier ready;
  private final EventLoop loop;
  private final MemoryBudget memory;

  /** Whether callers are accepted; stays true once set. */
  private boolean open;

  private long openedMillis;

  /** Numbers of unread requests that were refused and are not logged yet, by cause. */
  private final Map<FailureType, Integer> unloggedRefusals = new EnumMap<>(FailureType.class);

  private Undertow callerListener;
  private Undertow readinessListener;

  ForwardServer(
      ForwardSettings settings,
      XnioWorker worker,
      Clock clock,
      EventLoop loop,
      MemoryBudget memory,
      BiConsumer<CallerRequest, CallerResponse> accept,
      BooleanSupplier configured,
      BooleanSupplier ready) {
    this.settings = settings;
    this.worker = worker;
    this.clock = clock;
    this.loop = loop;
    this.memory = memory;
    this.accept = accept;
    this.configured = configured;
    this.ready = ready;
  }

  void start() {
    callerListener =
        Undertow.builder()
            .setWorker(worker)
            .setSocketOption(Options.TCP_NODELAY, true)
            .setSocketOption(Options.BACKLOG, 1_024)
            .setServerOption(UndertowOptions.NO_REQUEST_TIMEOUT, IDLE_TIMEOUT_MILLIS)
            .setServerOption(UndertowOptions.REQUEST_PARSE_TIMEOUT, HEAD_TIMEOUT_MILLIS)
            .setServerOption(UndertowOptions.MAX_ENTITY_SIZE, MAX_BODY_BYTES)
            .setServerOption(UndertowOptions.MAX_HEADER_SIZE, MAX_HEAD_BYTES)
            .setServerOption(UndertowOptions.DECODE_URL, false)
            .setServerOption(UndertowOptions.ALLOW_UNESCAPED_CHARACTERS_IN_URL, true)
            .setServerOption(UndertowOptions.ALWAYS_SET_DATE, false)
            .addHttpListener(
                settings.callerAddress().getPort(), settings.callerAddress().getHostString())
            .setHandler(this::handle)
            .build();
    callerListener.start();
    callerListener.getListenerInfo().forEach(Undertow.ListenerInfo::suspend);
    loop.after(settings.maxStartupHoldMillis(), this::open);
    readinessListener =
        Undertow.builder()
            .setWorker(worker)
            .addHttpListener(
                settings.readinessAddress().getPort(), settings.readinessAddress().getHostString())
            .setHandler(this::sendReadiness)
            .build();
    readinessListener.start();
  }

  /**
   * Starts to accept callers.
   *
   * <p>After a power failure all callers connect to entries that are still starting. If they were
   * refused at once, they would spend their only retry on another entry that is also starting, and
   * refusing hundreds of them would delay reading the configuration. Until there is one,
   * connections therefore wait in the listen backlog, up to a short time limit.
   */
  void open() {
    if (!open) {
      open = true;
      openedMillis = clock.millis();
      callerListener.getListenerInfo().forEach(Undertow.ListenerInfo::resume);
    }
  }

  void stop() {
    callerListener.stop();
    readinessListener.stop();
  }

  private void sendReadiness(HttpServerExchange exchange) {
    exchange.setStatusCode(ready.getAsBoolean() ? StatusCodes.OK : StatusCodes.SERVICE_UNAVAILABLE);
    exchange.endExchange();
  }

  private void handle(HttpServerExchange exchange) {
    if (!configured.getAsBoolean()) {
      refuseNotReady(exchange);
      return;
    }
    long arrived = clock.millis();
    if (ambiguous(exchange.getRequestHeaders())) {
      exchange.setPersistent(false);
      exchange.setStatusCode(StatusCodes.BAD_REQUEST);
      exchange.endExchange();
      return;
    }
    RequestBodyReader.read(exchange, memory, new BodyListener(exchange, arrived));
  }

  /** Refuses a request without parsing it, to leave time for reading the configuration. */
  private void refuseNotReady(HttpServerExchange exchange) {
    countRefusal(FailureType.NOT_READY);
    exchange.setStatusCode(StatusCodes.SERVICE_UNAVAILABLE);
    exchange.getResponseHeaders().put(Headers.RETRY_AFTER, RETRY_AFTER);
    exchange.endExchange();
  }

  private void countRefusal(FailureType cause) {
    if (unloggedRefusals.isEmpty()) {
      loop.after(REFUSAL_LOG_MILLIS, this::logRefusals);
    }
    unloggedRefusals.merge(cause, 1, Integer::sum);
  }

  private void logRefusals() {
    unloggedRefusals.forEach(
        (cause, requests) ->
            EventLog.log(
                EventType.REQUESTS_TURNED_AWAY,
                "cause",
                cause.label(),
                "requests",
                requests,
                "memory_used",
                memory.usedBytes(),
                "memory_capacity",
                memory.capacityBytes()));
    unloggedRefusals.clear();
  }

  /**
   * Returns whether the body's length is stated twice. An endpoint could use the other length and
   * read part of the body as a separate request (request smuggling).
   */
  private static boolean ambiguous(HeaderMap headers) {
    HeaderValues lengths = headers.get(Headers.CONTENT_LENGTH);
    boolean chunked = headers.contains(Headers.TRANSFER_ENCODING);
    return lengths != null && (lengths.size() > 1 || chunked);
  }

  private void serve(
      HttpServerExchange exchange, byte[] body, MemoryReservation held, long arrived) {
    CallerRequest request =
        new CallerRequest(
            exchange.getRequestMethod().toString(),
            hostOf(exchange),
            targetOf(exchange),
            headersOf(exchange.getRequestHeaders()),
            body,
            arrived);
    CallerResponse caller = new CallerResponse(exchange, held);
    boolean mayHaveBeenHeld = arrived - openedMillis < HELD_REQUESTS_MILLIS;
    if (!mayHaveBeenHeld || !caller.hasDisconnected()) {
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

  /** Serves a request once its body is complete. */
  private final class BodyListener implements RequestBodyReader.Listener {

    private final HttpServerExchange exchange;
    private final long arrivedMillis;

    BodyListener(HttpServerExchange exchange, long arrivedMillis) {
      this.exchange = exchange;
      this.arrivedMillis = arrivedMillis;
    }

    @Override
    public void received(byte[] body, MemoryReservation held) {
      exchange.dispatch(
          SameThreadExecutor.INSTANCE, () -> serve(exchange, body, held, arrivedMillis));
    }

    /** The body need not have arrived for the response to be written. */
    @Override
    public void memoryFull() {
      countRefusal(FailureType.MEMORY_FULL);
      HornbeamusherException refusal =
          HornbeamusherException.notRun(FailureType.MEMORY_FULL)
              .retryAfter(RetryAfterPolicy.OTHER_ENTRY_MILLIS);
      new CallerResponse(exchange, memory.reserveNothing()).refuse(refusal, false);
    }

    @Override
    public void failed(IOException cause) {
      if (cause instanceof SocketTimeoutException) {
        // A response would wait until the rest of the body has been read.
        IoUtils.safeClose(exchange.getConnection());
        return;
      }
      exchange.setPersistent(false);
      exchange.setStatusCode(StatusCodes.REQUEST_ENTITY_TOO_LARGE);
      exchange.endExchange();
    }
  }
}

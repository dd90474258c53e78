package org.hornbeamusher.entry;

import io.undertow.server.HttpServerExchange;
import io.undertow.util.HeaderMap;
import io.undertow.util.Headers;
import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.util.Optional;
import org.hornbeamusher.claims.StoredResponse;
import org.hornbeamusher.failure.HornbeamusherException;

/** What the forms of an answer have in common: headers, failures and the sink. */
abstract class HttpAnswerWriter implements AnswerWriter {

  private final HttpServerExchange exchange;
  private final CallerSink sink;
  private final String requestId;
  private final ByteArrayOutputStream kept = new ByteArrayOutputStream();
  private int keepLength;
  private boolean delivered;

  HttpAnswerWriter(HttpServerExchange exchange, CallerSink sink, String requestId) {
    this.exchange = exchange;
    this.sink = sink;
    this.requestId = requestId;
  }

  final String requestId() {
    return requestId;
  }

  final void head(AnswerHead head, int status, String contentType) {
    exchange.setStatusCode(status);
    HeaderMap headers = exchange.getResponseHeaders();
    headers.put(Headers.CONTENT_TYPE, contentType);
    headers.put(CallerHeaders.ENDPOINT, head.endpoint().value());
    headers.put(CallerHeaders.LOAD_STALL, head.loadStallMillis());
    if (!head.adapter().isEmpty()) {
      headers.put(CallerHeaders.ADAPTER, head.adapter());
    }
  }

  final void write(String text) {
    write(text.getBytes(StandardCharsets.UTF_8));
  }

  final void write(byte[] bytes) {
    delivered = true;
    if (keepLength > 0) {
      keepPart(bytes);
    }
    sink.write(bytes);
  }

  private void keepPart(byte[] bytes) {
    if (kept.size() + bytes.length > keepLength) {
      keepLength = 0;
      kept.reset();
      return;
    }
    kept.writeBytes(bytes);
  }

  @Override
  public final void keep(int maximumLength) {
    keepLength = maximumLength;
  }

  @Override
  public final Optional<StoredResponse> kept() {
    if (keepLength == 0) {
      return Optional.empty();
    }
    String contentType = exchange.getResponseHeaders().getFirst(Headers.CONTENT_TYPE);
    return Optional.of(
        new StoredResponse(exchange.getStatusCode(), contentType, kept.toByteArray()));
  }

  @Override
  public final void replay(StoredResponse answer) {
    exchange.setStatusCode(answer.status());
    exchange.getResponseHeaders().put(Headers.CONTENT_TYPE, answer.contentType());
    exchange.getResponseHeaders().put(CallerHeaders.REPLAYED, "true");
    writeWhole(answer.body());
  }

  /** Announces the length, so that a caller can tell a whole answer from a cut one. */
  final void writeWhole(byte[] bytes) {
    exchange.setResponseContentLength(bytes.length);
    write(bytes);
    finish();
  }

  final void finish() {
    sink.end();
  }

  @Override
  public final boolean delivered() {
    return delivered;
  }

  @Override
  public final void fail(HornbeamusherException failure) {
    if (delivered) {
      failDelivered(failure);
      sink.abort();
      return;
    }
    FailureReply.head(exchange, failure);
    byte[] body = FailureReply.body(failure, requestId);
    exchange.setResponseContentLength(body.length);
    sink.write(body);
    sink.end();
  }

  /** Says what it can in an answer that has begun; the connection is closed after it. */
  abstract void failDelivered(HornbeamusherException failure);
}

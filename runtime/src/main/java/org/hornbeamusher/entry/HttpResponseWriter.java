package org.hornbeamusher.entry;

import io.undertow.server.HttpServerExchange;
import io.undertow.util.HeaderMap;
import io.undertow.util.Headers;
import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.util.Optional;
import org.hornbeamusher.claims.StoredResponse;
import org.hornbeamusher.failure.HornbeamusherException;

/**
 * Base class of the response writers: writes headers and failures, and keeps a copy of the body.
 */
abstract class HttpResponseWriter implements ResponseWriter {

  private final HttpServerExchange exchange;
  private final CallerSink sink;
  private final String requestId;
  private final ByteArrayOutputStream copy = new ByteArrayOutputStream();
  private int maxCopyLength;
  private boolean delivered;

  HttpResponseWriter(HttpServerExchange exchange, CallerSink sink, String requestId) {
    this.exchange = exchange;
    this.sink = sink;
    this.requestId = requestId;
  }

  final String requestId() {
    return requestId;
  }

  final void writeHead(ResponseHead head, int status, String contentType) {
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
    if (maxCopyLength > 0) {
      copyPart(bytes);
    }
    sink.write(bytes);
  }

  private void copyPart(byte[] bytes) {
    if (copy.size() + bytes.length > maxCopyLength) {
      maxCopyLength = 0;
      copy.reset();
      return;
    }
    copy.writeBytes(bytes);
  }

  @Override
  public final void keepCopy(int maximumLength) {
    maxCopyLength = maximumLength;
  }

  @Override
  public final Optional<StoredResponse> keptCopy() {
    if (maxCopyLength == 0) {
      return Optional.empty();
    }
    String contentType = exchange.getResponseHeaders().getFirst(Headers.CONTENT_TYPE);
    return Optional.of(
        new StoredResponse(exchange.getStatusCode(), contentType, copy.toByteArray()));
  }

  @Override
  public final void replay(StoredResponse response) {
    exchange.setStatusCode(response.status());
    exchange.getResponseHeaders().put(Headers.CONTENT_TYPE, response.contentType());
    exchange.getResponseHeaders().put(CallerHeaders.REPLAYED, "true");
    writeComplete(response.body());
  }

  /** Sets Content-Length, so that a caller can tell a complete response from a truncated one. */
  final void writeComplete(byte[] bytes) {
    exchange.setResponseContentLength(bytes.length);
    write(bytes);
    finish();
  }

  final void finish() {
    sink.end();
  }

  @Override
  public final boolean hasDelivered() {
    return delivered;
  }

  @Override
  public final void fail(HornbeamusherException failure) {
    if (delivered) {
      failAfterStart(failure);
      sink.abort();
      return;
    }
    FailureResponse.head(exchange, failure);
    byte[] body = FailureResponse.body(failure, requestId);
    exchange.setResponseContentLength(body.length);
    sink.write(body);
    sink.end();
  }

  /**
   * Reports a failure within a response that has begun, if its format permits; the connection is
   * closed afterwards.
   */
  abstract void failAfterStart(HornbeamusherException failure);
}

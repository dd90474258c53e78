package org.hornbeamusher.entry;

import io.undertow.server.HttpServerExchange;
import org.hornbeamusher.failure.HornbeamusherException;

/** Forwards a plain service's response as it arrives, with the service's own status. */
final class PlainResponseWriter extends HttpResponseWriter {

  PlainResponseWriter(HttpServerExchange exchange, CallerSink sink, String requestId) {
    super(exchange, sink, requestId);
  }

  @Override
  public void begin(ResponseHead head) {
    writeHead(head, head.status(), head.contentType());
  }

  @Override
  public void part(ResponsePart part) {
    switch (part) {
      case ResponsePart.Token token -> write(token.text());
      case ResponsePart.Bytes bytes -> write(bytes.bytes());
    }
  }

  @Override
  public void end(ResponseEnd end) {
    finish();
  }

  @Override
  void failAfterStart(HornbeamusherException failure) {
    // The response is chunked; closing the connection before the last chunk shows the failure.
  }
}

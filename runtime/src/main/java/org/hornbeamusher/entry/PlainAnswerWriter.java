package org.hornbeamusher.entry;

import io.undertow.server.HttpServerExchange;
import org.hornbeamusher.failure.HornbeamusherException;

/** Passes a plain service's answer on as it comes, with the service's own status. */
final class PlainAnswerWriter extends HttpAnswerWriter {

  PlainAnswerWriter(HttpServerExchange exchange, CallerSink sink, String requestId) {
    super(exchange, sink, requestId);
  }

  @Override
  public void begin(AnswerHead head) {
    head(head, head.status(), head.contentType());
  }

  @Override
  public void part(AnswerPart part) {
    switch (part) {
      case AnswerPart.Token token -> write(token.text());
      case AnswerPart.Bytes bytes -> write(bytes.bytes());
    }
  }

  @Override
  public void end(AnswerEnd end) {
    finish();
  }

  @Override
  void failDelivered(HornbeamusherException failure) {
    // The answer is chunked, and the connection is closed before its last chunk.
  }
}

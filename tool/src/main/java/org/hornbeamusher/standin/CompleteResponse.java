package org.hornbeamusher.standin;

import io.undertow.server.HttpServerExchange;
import java.nio.charset.StandardCharsets;

/** Sends a response once it is complete, as one JSON object in the form of the OpenAI API. */
final class CompleteResponse implements ResponseSink {

  private final HttpServerExchange exchange;
  private final String head;
  private final StringBuilder text = new StringBuilder();

  CompleteResponse(HttpServerExchange exchange, String id, String model) {
    this.exchange = exchange;
    this.head = ResponseJson.head(id, model);
  }

  @Override
  public void token(int index, String token) {
    text.append(token);
  }

  @Override
  public void finished(String reason, int promptTokens, int completionTokens) {
    String usage = ResponseJson.usage(promptTokens, completionTokens);
    String body = head + ResponseJson.choice(text.toString(), reason) + "," + usage + "}";
    HttpExchanges.bytes(
        exchange, 200, "application/json", body.getBytes(StandardCharsets.US_ASCII));
  }

  @Override
  public void failed(int status, String type) {
    HttpExchanges.error(exchange, status, type);
  }

  @Override
  public void abort() {
    HttpExchanges.closeConnection(exchange);
  }
}

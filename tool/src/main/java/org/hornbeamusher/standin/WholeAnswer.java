package org.hornbeamusher.standin;

import io.undertow.server.HttpServerExchange;
import java.nio.charset.StandardCharsets;

/** Sends an answer when it is whole, in OpenAI's JSON form. */
final class WholeAnswer implements AnswerSink {

  private final HttpServerExchange exchange;
  private final String head;
  private final StringBuilder text = new StringBuilder();

  WholeAnswer(HttpServerExchange exchange, String id, String model) {
    this.exchange = exchange;
    this.head = AnswerJson.head(id, model);
  }

  @Override
  public void token(int index, String token) {
    text.append(token);
  }

  @Override
  public void finished(String reason, int promptTokens, int completionTokens) {
    String usage = AnswerJson.usage(promptTokens, completionTokens);
    String body = head + AnswerJson.choice(text.toString(), reason) + "," + usage + "}";
    Replies.bytes(exchange, 200, "application/json", body.getBytes(StandardCharsets.US_ASCII));
  }

  @Override
  public void failed(int status, String type) {
    Replies.error(exchange, status, type);
  }

  @Override
  public void cut() {
    Replies.cut(exchange);
  }
}

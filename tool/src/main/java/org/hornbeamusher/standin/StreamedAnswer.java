package org.hornbeamusher.standin;

import io.undertow.server.HttpServerExchange;

/** Sends an answer token by token, in OpenAI's form of server-sent events. */
final class StreamedAnswer implements AnswerSink {

  private final HttpServerExchange exchange;
  private final EventStream stream;
  private final String head;

  StreamedAnswer(HttpServerExchange exchange, String id, String model, Runnable gone) {
    this.exchange = exchange;
    this.stream = new EventStream(exchange, gone);
    this.head = AnswerJson.head(id, model);
  }

  @Override
  public void token(int index, String text) {
    stream.event(head + AnswerJson.choice(text, null) + "}");
  }

  @Override
  public void finished(String reason, int promptTokens, int completionTokens) {
    String usage = AnswerJson.usage(promptTokens, completionTokens);
    stream.event(head + AnswerJson.choice("", reason) + "," + usage + "}");
    stream.event("[DONE]");
    stream.end();
  }

  @Override
  public void failed(int status, String type) {
    stream.event("{\"error\":{\"type\":\"" + type + "\"}}");
    stream.end();
  }

  @Override
  public void cut() {
    Replies.cut(exchange);
  }
}

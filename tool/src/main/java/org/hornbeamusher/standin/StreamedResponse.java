package org.hornbeamusher.standin;

import io.undertow.server.HttpServerExchange;

/** Sends a response token by token as server-sent events, in the form of the OpenAI API. */
final class StreamedResponse implements ResponseSink {

  private final HttpServerExchange exchange;
  private final EventStream stream;
  private final String head;

  StreamedResponse(
      HttpServerExchange exchange, String id, String model, Runnable onConnectionLost) {
    this.exchange = exchange;
    this.stream = new EventStream(exchange, onConnectionLost);
    this.head = ResponseJson.head(id, model);
  }

  @Override
  public void token(int index, String text) {
    stream.event(head + ResponseJson.choice(text, null) + "}");
  }

  @Override
  public void finished(String reason, int promptTokens, int completionTokens) {
    String usage = ResponseJson.usage(promptTokens, completionTokens);
    stream.event(head + ResponseJson.choice("", reason) + "," + usage + "}");
    stream.event("[DONE]");
    stream.end();
  }

  @Override
  public void failed(int status, String type) {
    stream.event("{\"error\":{\"type\":\"" + type + "\"}}");
    stream.end();
  }

  @Override
  public void abort() {
    HttpExchanges.closeConnection(exchange);
  }
}

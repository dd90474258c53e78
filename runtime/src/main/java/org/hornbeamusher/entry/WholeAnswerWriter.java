package org.hornbeamusher.entry;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.undertow.server.HttpServerExchange;
import java.nio.charset.StandardCharsets;
import org.hornbeamusher.failure.HornbeamusherException;

/** Collects tokens and writes them as one JSON answer when they are whole. */
final class WholeAnswerWriter extends HttpAnswerWriter {

  private static final ObjectMapper JSON = new ObjectMapper();

  private final boolean chat;
  private final StringBuilder text = new StringBuilder();
  private String adapter = "";

  WholeAnswerWriter(HttpServerExchange exchange, CallerSink sink, String requestId, boolean chat) {
    super(exchange, sink, requestId);
    this.chat = chat;
  }

  @Override
  public void begin(AnswerHead head) {
    text.setLength(0);
    adapter = head.adapter();
    head(head, 200, "application/json");
  }

  @Override
  public void part(AnswerPart part) {
    switch (part) {
      case AnswerPart.Token token -> text.append(token.text());
      case AnswerPart.Bytes bytes -> text.append(new String(bytes.bytes(), StandardCharsets.UTF_8));
    }
  }

  @Override
  public void end(AnswerEnd end) {
    ObjectNode answer = JSON.createObjectNode();
    answer.put("id", requestId());
    answer.put("object", chat ? "chat.completion" : "text_completion");
    answer.put("model", adapter);
    ObjectNode choice = answer.putArray("choices").addObject();
    choice.put("index", 0);
    if (chat) {
      choice.putObject("message").put("role", "assistant").put("content", text.toString());
    } else {
      choice.put("text", text.toString());
    }
    choice.put("finish_reason", end.finishReason());
    putUsage(answer, end);
    writeWhole(answer.toString().getBytes(StandardCharsets.UTF_8));
  }

  @Override
  void failDelivered(HornbeamusherException failure) {
    // The length was announced, and the connection is closed before it is reached.
  }

  static void putUsage(ObjectNode answer, AnswerEnd end) {
    ObjectNode usage = answer.putObject("usage");
    usage.put("prompt_tokens", end.promptTokens());
    usage.put("completion_tokens", end.completionTokens());
    usage.put("total_tokens", end.promptTokens() + end.completionTokens());
  }
}

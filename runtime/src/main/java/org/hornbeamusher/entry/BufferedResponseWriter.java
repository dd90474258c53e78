package org.hornbeamusher.entry;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.undertow.server.HttpServerExchange;
import java.nio.charset.StandardCharsets;
import org.hornbeamusher.failure.HornbeamusherException;

/** Buffers tokens and writes them as one JSON response when it is complete. */
final class BufferedResponseWriter extends HttpResponseWriter {

  private static final ObjectMapper JSON = new ObjectMapper();

  private final boolean chat;
  private final StringBuilder text = new StringBuilder();
  private String adapter = "";

  BufferedResponseWriter(
      HttpServerExchange exchange, CallerSink sink, String requestId, boolean chat) {
    super(exchange, sink, requestId);
    this.chat = chat;
  }

  @Override
  public void begin(ResponseHead head) {
    text.setLength(0);
    adapter = head.adapter();
    writeHead(head, 200, "application/json");
  }

  @Override
  public void part(ResponsePart part) {
    switch (part) {
      case ResponsePart.Token token -> text.append(token.text());
      case ResponsePart.Bytes bytes ->
          text.append(new String(bytes.bytes(), StandardCharsets.UTF_8));
    }
  }

  @Override
  public void end(ResponseEnd end) {
    ObjectNode response = JSON.createObjectNode();
    response.put("id", requestId());
    response.put("object", chat ? "chat.completion" : "text_completion");
    response.put("model", adapter);
    ObjectNode choice = response.putArray("choices").addObject();
    choice.put("index", 0);
    if (chat) {
      choice.putObject("message").put("role", "assistant").put("content", text.toString());
    } else {
      choice.put("text", text.toString());
    }
    choice.put("finish_reason", end.finishReason());
    putUsage(response, end);
    writeComplete(response.toString().getBytes(StandardCharsets.UTF_8));
  }

  @Override
  void failAfterStart(HornbeamusherException failure) {
    // Closing the connection before Content-Length is reached shows the failure.
  }

  static void putUsage(ObjectNode response, ResponseEnd end) {
    ObjectNode usage = response.putObject("usage");
    usage.put("prompt_tokens", end.promptTokens());
    usage.put("completion_tokens", end.completionTokens());
    usage.put("total_tokens", end.promptTokens() + end.completionTokens());
  }
}

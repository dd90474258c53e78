package org.hornbeamusher.entry;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.undertow.server.HttpServerExchange;
import java.nio.charset.StandardCharsets;
import org.hornbeamusher.failure.HornbeamusherException;

/**
 * Streams tokens as server-sent events. A complete response ends with {@code [DONE]}; a truncated
 * one ends with an event that contains the error, and its connection is closed.
 */
final class StreamedResponseWriter extends HttpResponseWriter {

  private static final ObjectMapper JSON = new ObjectMapper();

  private final boolean chat;
  private String adapter = "";

  StreamedResponseWriter(
      HttpServerExchange exchange, CallerSink sink, String requestId, boolean chat) {
    super(exchange, sink, requestId);
    this.chat = chat;
  }

  @Override
  public void begin(ResponseHead head) {
    adapter = head.adapter();
    writeHead(head, 200, "text/event-stream");
  }

  @Override
  public void part(ResponsePart part) {
    switch (part) {
      case ResponsePart.Token token -> write(event(token.text(), null));
      case ResponsePart.Bytes bytes -> write(bytes.bytes());
    }
  }

  @Override
  public void end(ResponseEnd end) {
    write(event("", end) + "data: [DONE]\n\n");
    finish();
  }

  @Override
  void failAfterStart(HornbeamusherException failure) {
    write(
        "data: "
            + new String(FailureResponse.body(failure, requestId()), StandardCharsets.UTF_8)
            + "\n\n");
  }

  private String event(String text, ResponseEnd end) {
    ObjectNode event = JSON.createObjectNode();
    event.put("id", requestId());
    event.put("object", chat ? "chat.completion.chunk" : "text_completion");
    event.put("model", adapter);
    ObjectNode choice = event.putArray("choices").addObject();
    choice.put("index", 0);
    if (chat) {
      choice.putObject("delta").put("content", text);
    } else {
      choice.put("text", text);
    }
    choice.put("finish_reason", end == null ? null : end.finishReason());
    if (end != null) {
      BufferedResponseWriter.putUsage(event, end);
    }
    return "data: " + event + "\n\n";
  }
}

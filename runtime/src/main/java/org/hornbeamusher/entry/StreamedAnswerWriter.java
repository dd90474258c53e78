package org.hornbeamusher.entry;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.undertow.server.HttpServerExchange;
import java.nio.charset.StandardCharsets;
import org.hornbeamusher.failure.HornbeamusherException;

/**
 * Streams tokens as server-sent events. A whole answer ends in {@code [DONE]}; one that is cut ends
 * in an event with the error and a closed connection instead.
 */
final class StreamedAnswerWriter extends HttpAnswerWriter {

  private static final ObjectMapper JSON = new ObjectMapper();

  private final boolean chat;
  private String adapter = "";

  StreamedAnswerWriter(
      HttpServerExchange exchange, CallerSink sink, String requestId, boolean chat) {
    super(exchange, sink, requestId);
    this.chat = chat;
  }

  @Override
  public void begin(AnswerHead head) {
    adapter = head.adapter();
    head(head, 200, "text/event-stream");
  }

  @Override
  public void part(AnswerPart part) {
    switch (part) {
      case AnswerPart.Token token -> write(event(token.text(), null));
      case AnswerPart.Bytes bytes -> write(bytes.bytes());
    }
  }

  @Override
  public void end(AnswerEnd end) {
    write(event("", end) + "data: [DONE]\n\n");
    finish();
  }

  @Override
  void failDelivered(HornbeamusherException failure) {
    write(
        "data: "
            + new String(FailureReply.body(failure, requestId()), StandardCharsets.UTF_8)
            + "\n\n");
  }

  private String event(String text, AnswerEnd end) {
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
      WholeAnswerWriter.putUsage(event, end);
    }
    return "data: " + event + "\n\n";
  }
}

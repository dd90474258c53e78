package org.hornbeamusher.entry;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.zip.CRC32C;
import org.hornbeamusher.failure.FailureType;
import org.hornbeamusher.failure.HornbeamusherException;
import org.hornbeamusher.failure.Outcome;
import org.hornbeamusher.ids.AdapterRef;
import org.hornbeamusher.ids.EndpointId;
import org.hornbeamusher.wire.Message;

/**
 * Reads the chunks of one attempt and checks that they are the whole answer of the right adapter.
 *
 * <p>Three things are checked, each against a different fault. The chunk numbers must follow each
 * other and the closing frame's count and checksum must agree: else a frame was lost, doubled or
 * damaged between the processes. The engine's own end mark must have come: else the engine's stream
 * was cut and closed cleanly. Every event must name the adapter and version that was asked for:
 * else the engine ran another one.
 */
final class AnswerReader {

  private static final ObjectMapper JSON = new ObjectMapper();
  private static final String END_MARK = "[DONE]";

  private final EndpointId endpoint;
  private final Optional<AdapterRef> adapter;
  private final ServerSentEvents events = new ServerSentEvents();
  private final CRC32C checksum = new CRC32C();
  private long chunks;
  private boolean endMarkSeen;
  private String finishReason = "";
  private int promptTokens;
  private int completionTokens;

  AnswerReader(EndpointId endpoint, Optional<AdapterRef> adapter) {
    this.endpoint = endpoint;
    this.adapter = adapter;
  }

  List<AnswerPart> read(Message.Chunk chunk) {
    if (chunk.sequence() != chunks) {
      throw cut();
    }
    chunks++;
    checksum.update(chunk.bytes());
    if (adapter.isEmpty()) {
      return List.of(new AnswerPart.Bytes(chunk.bytes()));
    }
    List<AnswerPart> parts = new ArrayList<>();
    for (String data : events.feed(chunk.bytes())) {
      readEvent(data).ifPresent(parts::add);
    }
    return parts;
  }

  AnswerEnd end(Message.Closing closing) {
    boolean whole = closing.chunks() == chunks && closing.checksum() == checksum.getValue();
    if (!whole || (adapter.isPresent() && !endMarkSeen)) {
      throw cut();
    }
    return adapter.isEmpty()
        ? AnswerEnd.PLAIN
        : new AnswerEnd(finishReason, promptTokens, completionTokens);
  }

  private Optional<AnswerPart> readEvent(String data) {
    if (data.equals(END_MARK)) {
      endMarkSeen = true;
      return Optional.empty();
    }
    JsonNode event = parse(data);
    checkAdapter(event.path("model").asText());
    JsonNode choice = event.path("choices").path(0);
    JsonNode reason = choice.path("finish_reason");
    if (reason.isTextual()) {
      finishReason = reason.textValue();
      promptTokens = event.path("usage").path("prompt_tokens").asInt();
      completionTokens = event.path("usage").path("completion_tokens").asInt();
    }
    String text = choice.path("text").asText("");
    return text.isEmpty() ? Optional.empty() : Optional.of(new AnswerPart.Token(text));
  }

  private void checkAdapter(String ran) {
    String named = adapter.orElseThrow().toString();
    if (!ran.equals(named)) {
      throw HornbeamusherException.of(
          FailureType.WRONG_ADAPTER, Outcome.UNKNOWN, endpoint, ran, named);
    }
  }

  private JsonNode parse(String data) {
    try {
      return JSON.readTree(data);
    } catch (IOException e) {
      throw cut().causedBy(e);
    }
  }

  private HornbeamusherException cut() {
    return HornbeamusherException.of(FailureType.ANSWER_CUT, Outcome.UNKNOWN, endpoint);
  }
}

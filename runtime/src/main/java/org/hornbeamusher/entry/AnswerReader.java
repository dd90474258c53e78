package org.hornbeamusher.entry;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.hornbeamusher.dispatch.AttemptCall;
import org.hornbeamusher.failure.FailureType;
import org.hornbeamusher.failure.HornbeamusherException;
import org.hornbeamusher.failure.Outcome;
import org.hornbeamusher.ids.AdapterRef;
import org.hornbeamusher.ids.EndpointId;
import org.hornbeamusher.responses.AssemblyResult;
import org.hornbeamusher.responses.ResponseAssembler;
import org.hornbeamusher.responses.ResponseState;
import org.hornbeamusher.wire.Message;

/**
 * Reads the chunks of one attempt and checks that they are the whole answer of the right adapter.
 *
 * <p>Three things are checked, each against a different fault. {@link ResponseAssembler} checks
 * what may happen between the processes: frames lost, doubled, late or damaged. The engine's own
 * end mark must have come: else the engine's stream was cut and closed cleanly. Every event must
 * name the adapter and version that was asked for: else the engine ran another one.
 */
final class AnswerReader {

  private static final ObjectMapper JSON = new ObjectMapper();
  private static final String END_MARK = "[DONE]";

  private final EndpointId endpoint;
  private final Optional<AdapterRef> adapter;
  private final ResponseAssembler assembler;
  private final ServerSentEvents events = new ServerSentEvents();
  private boolean endMarkSeen;
  private String finishReason = "";
  private int promptTokens;
  private int completionTokens;

  AnswerReader(EndpointId endpoint, Optional<AdapterRef> adapter, long attempt) {
    this.endpoint = endpoint;
    this.adapter = adapter;
    this.assembler = new ResponseAssembler(attempt, AttemptCall.INITIAL_CREDIT);
  }

  List<AnswerPart> read(Message.Chunk chunk) {
    AssemblyResult delivery =
        assembler.partReceived(chunk.attempt(), chunk.sequence(), chunk.bytes());
    List<AnswerPart> parts = new ArrayList<>();
    for (byte[] bytes : delivery.parts()) {
      readPart(bytes, parts);
    }
    return parts;
  }

  void read(Message.ResponseEnd closing) {
    assembler.closingReceived(closing.attempt(), closing.chunks(), closing.checksum());
  }

  /** Returns the end once the answer is whole; empty while more frames may come. */
  Optional<AnswerEnd> end() {
    return switch (assembler.state()) {
      case ResponseState.Open open -> Optional.empty();
      case ResponseState.Complete whole when adapter.isEmpty() -> Optional.of(AnswerEnd.PLAIN);
      case ResponseState.Complete whole when endMarkSeen ->
          Optional.of(new AnswerEnd(finishReason, promptTokens, completionTokens));
      case ResponseState.Complete whole -> throw cut();
      case ResponseState.Truncated cut -> throw cut();
      case ResponseState.Mismatch mismatch -> throw cut();
    };
  }

  private void readPart(byte[] bytes, List<AnswerPart> parts) {
    if (adapter.isEmpty()) {
      parts.add(new AnswerPart.Bytes(bytes));
      return;
    }
    for (String data : events.feed(bytes)) {
      readEvent(data).ifPresent(parts::add);
    }
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

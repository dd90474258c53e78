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
 * Decodes the chunks of one attempt and checks that they form the complete response of the
 * requested adapter.
 *
 * <p>There are three checks, each for a different fault. {@link ResponseAssembler} detects faults
 * between the processes: lost, duplicated, late or corrupted frames. A missing end mark shows that
 * the engine's stream was truncated although it was closed cleanly. An event that names another
 * adapter or version than the requested one shows that the engine ran the wrong adapter.
 */
final class ResponseReader {

  private static final ObjectMapper JSON = new ObjectMapper();
  private static final String END_MARK = "[DONE]";

  private final EndpointId endpoint;
  private final Optional<AdapterRef> adapter;
  private final ResponseAssembler assembler;
  private final ServerSentEventParser events = new ServerSentEventParser();
  private boolean endMarkSeen;
  private String finishReason = "";
  private int promptTokens;
  private int completionTokens;

  ResponseReader(EndpointId endpoint, Optional<AdapterRef> adapter, long attempt) {
    this.endpoint = endpoint;
    this.adapter = adapter;
    this.assembler = new ResponseAssembler(attempt, AttemptCall.INITIAL_CREDIT_BYTES);
  }

  List<ResponsePart> read(Message.Chunk chunk) {
    AssemblyResult delivery =
        assembler.partReceived(chunk.attempt(), chunk.sequence(), chunk.bytes());
    List<ResponsePart> parts = new ArrayList<>();
    for (byte[] bytes : delivery.parts()) {
      readPart(bytes, parts);
    }
    return parts;
  }

  void read(Message.ResponseEnd closing) {
    assembler.closingReceived(closing.attempt(), closing.chunks(), closing.checksum());
  }

  /** Returns the end metadata once the response is complete; empty while more frames may arrive. */
  Optional<ResponseEnd> end() {
    return switch (assembler.state()) {
      case ResponseState.Open open -> Optional.empty();
      case ResponseState.Complete whole when adapter.isEmpty() -> Optional.of(ResponseEnd.PLAIN);
      case ResponseState.Complete whole when endMarkSeen ->
          Optional.of(new ResponseEnd(finishReason, promptTokens, completionTokens));
      case ResponseState.Complete whole -> throw truncated();
      case ResponseState.Truncated cut -> throw truncated();
      case ResponseState.Mismatch mismatch -> throw truncated();
    };
  }

  private void readPart(byte[] bytes, List<ResponsePart> parts) {
    if (adapter.isEmpty()) {
      parts.add(new ResponsePart.Bytes(bytes));
      return;
    }
    for (String data : events.feed(bytes)) {
      readEvent(data).ifPresent(parts::add);
    }
  }

  private Optional<ResponsePart> readEvent(String data) {
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
    return text.isEmpty() ? Optional.empty() : Optional.of(new ResponsePart.Token(text));
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
      throw truncated().causedBy(e);
    }
  }

  private HornbeamusherException truncated() {
    return HornbeamusherException.of(FailureType.ANSWER_CUT, Outcome.UNKNOWN, endpoint);
  }
}

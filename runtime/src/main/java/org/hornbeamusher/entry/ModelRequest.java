package org.hornbeamusher.entry;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import org.hornbeamusher.failure.FailureType;
import org.hornbeamusher.failure.HornbeamusherException;
import org.hornbeamusher.ids.AdapterRef;

/**
 * A caller's request for a completion or chat completion.
 *
 * @param model {@code service/adapter@version} or {@code service/adapter}
 * @param prompt the prompt; for a chat its messages, each prefixed with its role
 * @param maxTokens greatest number of tokens in the response
 * @param stream whether the response is streamed
 * @param chat whether the response is a chat completion
 * @param body the request body as received
 */
record ModelRequest(
    String model, String prompt, int maxTokens, boolean stream, boolean chat, ObjectNode body) {

  /** The limit for a request that states none; 16 is the customary default of this API. */
  static final int DEFAULT_MAX_TOKENS = 16;

  private static final ObjectMapper JSON = new ObjectMapper();

  /** English text has about four characters per token. */
  private static final int CHARACTERS_PER_TOKEN = 4;

  static ModelRequest parse(byte[] bytes, boolean chat) {
    ObjectNode body = object(bytes);
    String model = text(body, "model");
    String prompt = chat ? chatPrompt(body.path("messages")) : text(body, "prompt");
    JsonNode maxTokens = body.path("max_tokens");
    if (!maxTokens.isMissingNode() && !(maxTokens.isInt() && maxTokens.intValue() > 0)) {
      throw malformed("max_tokens must be a positive integer");
    }
    JsonNode stream = body.path("stream");
    if (!stream.isMissingNode() && !stream.isBoolean()) {
      throw malformed("stream must be true or false");
    }
    int tokens = maxTokens.isMissingNode() ? DEFAULT_MAX_TOKENS : maxTokens.intValue();
    return new ModelRequest(model, prompt, tokens, stream.asBoolean(false), chat, body);
  }

  /** Returns the expected work in tokens: prompt and response together. */
  int costTokens() {
    return prompt.length() / CHARACTERS_PER_TOKEN + maxTokens;
  }

  /**
   * Returns the body for the endpoint: always a streamed completion that names the adapter with its
   * version.
   */
  byte[] endpointBody(AdapterRef adapter) {
    ObjectNode forward = body.deepCopy();
    forward.remove("messages");
    forward.put("model", adapter.toString());
    forward.put("prompt", prompt);
    forward.put("max_tokens", maxTokens);
    forward.put("stream", true);
    return forward.toString().getBytes(StandardCharsets.UTF_8);
  }

  private static ObjectNode object(byte[] bytes) {
    try {
      if (JSON.readTree(bytes) instanceof ObjectNode object) {
        return object;
      }
    } catch (IOException e) {
      throw malformed("it is not JSON").causedBy(e);
    }
    throw malformed("it is not a JSON object");
  }

  private static String text(ObjectNode body, String key) {
    JsonNode value = body.path(key);
    if (!value.isTextual()) {
      throw malformed(key + " must be a string");
    }
    return value.textValue();
  }

  private static String chatPrompt(JsonNode messages) {
    if (!messages.isArray() || messages.isEmpty()) {
      throw malformed("messages must be an array with at least one message");
    }
    StringBuilder prompt = new StringBuilder();
    for (JsonNode message : messages) {
      JsonNode role = message.path("role");
      JsonNode content = message.path("content");
      if (!role.isTextual() || !content.isTextual()) {
        throw malformed("every message must have a role and a content");
      }
      prompt.append(role.textValue()).append(": ").append(content.textValue()).append('\n');
    }
    return prompt.append("assistant:").toString();
  }

  private static HornbeamusherException malformed(String why) {
    return HornbeamusherException.notRun(FailureType.MALFORMED_REQUEST, why);
  }
}

package org.hornbeamusher.standin;

import com.fasterxml.jackson.core.io.JsonStringEncoder;

/**
 * Builds the JSON of a completion response by string concatenation. A streamed response needs one
 * such object per token; of the variable parts only the request id can contain characters that need
 * escaping.
 */
final class ResponseJson {

  private ResponseJson() {}

  /** Returns the object's beginning up to {@code choices}. */
  static String head(String id, String model) {
    String escaped = new String(JsonStringEncoder.getInstance().quoteAsString(id));
    return "{\"id\":\"" + escaped + "\",\"model\":\"" + model + "\",";
  }

  static String choice(String text, String finishReason) {
    String reason = finishReason == null ? "null" : "\"" + finishReason + "\"";
    return "\"choices\":[{\"index\":0,\"text\":\"" + text + "\",\"finish_reason\":" + reason + "}]";
  }

  static String usage(int promptTokens, int completionTokens) {
    return "\"usage\":{\"prompt_tokens\":"
        + promptTokens
        + ",\"completion_tokens\":"
        + completionTokens
        + "}";
  }
}

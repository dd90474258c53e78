package org.hornbeamusher.standin;

import com.fasterxml.jackson.core.io.JsonStringEncoder;

/**
 * Parts of an answer's JSON, joined by hand: it is written once a token, and its variable parts
 * need no escaping except the request's id.
 */
final class AnswerJson {

  private AnswerJson() {}

  /** The beginning up to the choices. */
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

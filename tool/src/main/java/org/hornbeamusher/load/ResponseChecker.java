package org.hornbeamusher.load;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import org.hornbeamusher.standin.ExpectedResponse;

/**
 * Checks a response against its request.
 *
 * <p>The text of a completion is compared with the text that the requested adapter generates for
 * the prompt. That finds a wrong adapter, a response to another request, and tokens that are
 * missing, duplicated or out of order. A streamed response is complete only with the final {@code
 * [DONE]}.
 */
final class ResponseChecker {

  private static final ObjectMapper JSON = new ObjectMapper();
  private static final String DONE = "data: [DONE]\n\n";
  private static final String TEXT = "\"text\":\"";
  private static final String MODEL = "\"model\":\"";
  private static final String ERROR = "data: {\"error\":";

  private ResponseChecker() {}

  static Verdict check(LoadRequest request, int status, String body) {
    if (status < 200 || status > 299) {
      return failure(body);
    }
    return switch (request) {
      case LoadRequest.Completion completion -> checkCompletion(completion, body);
      case LoadRequest.PlainCall call -> checkPlain(call, body);
    };
  }

  private static Verdict checkCompletion(LoadRequest.Completion request, String body) {
    if (request.streamed() && !body.endsWith(DONE)) {
      int error = body.lastIndexOf(ERROR);
      return error >= 0
          ? failure(body.substring(error + "data: ".length()))
          : new Verdict.Lost("the stream ends without [DONE]");
    }
    ExpectedResponse expected =
        new ExpectedResponse(request.adapter(), request.prompt(), request.maxTokens());
    String adapter = request.adapter().toString();
    String text = concatenatedText(body);
    if (!text.equals(expected.text())) {
      return new Verdict.Wrong("expected " + expected.text() + " and got " + text);
    }
    if (!allModelsAre(adapter, body)) {
      return new Verdict.Wrong("the answer names another adapter than " + adapter);
    }
    return new Verdict.Answered(expected.tokenCount());
  }

  /**
   * Concatenates the texts of all events. The stand-in's texts contain no characters that JSON
   * escapes.
   */
  private static String concatenatedText(String body) {
    StringBuilder text = new StringBuilder();
    int at = body.indexOf(TEXT);
    while (at >= 0) {
      int end = body.indexOf('"', at + TEXT.length());
      text.append(body, at + TEXT.length(), end);
      at = body.indexOf(TEXT, end);
    }
    return text.toString();
  }

  private static boolean allModelsAre(String adapter, String body) {
    int at = body.indexOf(MODEL);
    boolean found = at >= 0;
    while (at >= 0) {
      if (!body.startsWith(adapter + "\"", at + MODEL.length())) {
        return false;
      }
      at = body.indexOf(MODEL, at + 1);
    }
    return found;
  }

  private static Verdict checkPlain(LoadRequest.PlainCall request, String body) {
    JsonNode echo = parse(body);
    boolean matches =
        echo.path("service").asText().equals(request.service())
            && echo.path("path").asText().equals(request.path())
            && echo.path("key").asText().equals(request.idempotencyKey())
            && echo.path("body").asText().equals(request.body());
    return matches
        ? new Verdict.Answered(0)
        : new Verdict.Wrong("the echo is of another call: " + body);
  }

  private static Verdict failure(String body) {
    JsonNode error = parse(body).path("error");
    String type = error.path("type").asText();
    if (type.isEmpty()) {
      return new Verdict.Lost("the error has no type: " + body);
    }
    boolean notRun = error.path("outcome").asText().equals("not-run");
    return notRun ? new Verdict.Refused(type) : new Verdict.Failed(type);
  }

  private static JsonNode parse(String body) {
    try {
      return JSON.readTree(body);
    } catch (IOException e) {
      return JSON.createObjectNode();
    }
  }
}

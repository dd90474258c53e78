package org.hornbeamusher.load;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;

import org.hornbeamusher.ids.AdapterRef;
import org.hornbeamusher.standin.ExpectedAnswer;
import org.junit.jupiter.api.Test;

class AnswerCheckTest {

  private static final AdapterRef ADAPTER = AdapterRef.parse("valuer-llm/utes@1");
  private static final ExpectedAnswer EXPECTED = new ExpectedAnswer(ADAPTER, "price", 2);
  private static final LoadRequest STREAMED =
      new LoadRequest.Completion(ADAPTER, "price", 2, true, "");
  private static final LoadRequest WHOLE =
      new LoadRequest.Completion(ADAPTER, "price", 2, false, "");
  private static final LoadRequest PLAIN =
      new LoadRequest.PlainCall("haul-api", "/bookings", "load 7", "k1");

  @Test
  void wholeAnswersAreAnswered() {
    assertEquals(new Verdict.Answered(2), check(WHOLE, event(ADAPTER, EXPECTED.text())));
    String stream = "data: " + event(0) + "\n\ndata: " + event(1) + "\n\ndata: [DONE]\n\n";
    assertEquals(new Verdict.Answered(2), check(STREAMED, stream));
  }

  /** The caller of a roster gets what another adapter wrote. */
  @Test
  void textOfAnotherAdapterIsWrong() {
    AdapterRef other = AdapterRef.parse("valuer-llm/utes@2");
    String text = new ExpectedAnswer(other, "price", 2).text();
    assertInstanceOf(Verdict.Wrong.class, check(WHOLE, event(ADAPTER, text)));
    assertInstanceOf(Verdict.Wrong.class, check(WHOLE, event(other, EXPECTED.text())));
  }

  /** Two answers got mixed up, and a caller reads the answer to another prompt. */
  @Test
  void textOfAnotherPromptIsWrong() {
    String text = new ExpectedAnswer(ADAPTER, "another", 2).text();
    assertInstanceOf(Verdict.Wrong.class, check(WHOLE, event(ADAPTER, text)));
  }

  /** Frames came twice or out of order, and the stream was closed as if it were whole. */
  @Test
  void tokensDoubledMissingOrOutOfOrderAreWrong() {
    String end = "data: [DONE]\n\n";
    String first = "data: " + event(0) + "\n\n";
    String second = "data: " + event(1) + "\n\n";
    assertInstanceOf(Verdict.Wrong.class, check(STREAMED, first + first + second + end));
    assertInstanceOf(Verdict.Wrong.class, check(STREAMED, first + end));
    assertInstanceOf(Verdict.Wrong.class, check(STREAMED, second + first + end));
  }

  /** The stream ends in the middle and nothing tells the caller so. */
  @Test
  void cutStreamIsLostUnlessItEndsInTypedFailure() {
    String first = "data: " + event(0) + "\n\n";
    assertInstanceOf(Verdict.Lost.class, check(STREAMED, first));
    String error = "data: {\"error\":{\"type\":\"answer-cut\",\"outcome\":\"unknown\"}}\n\n";
    assertEquals(new Verdict.Failed("answer-cut"), check(STREAMED, first + error));
  }

  @Test
  void refusalsAreToldFromFailures() {
    String refusal = "{\"error\":{\"type\":\"queue-full\",\"outcome\":\"not-run\"}}";
    assertEquals(new Verdict.Refused("queue-full"), AnswerCheck.check(WHOLE, 503, refusal));
    String failure = "{\"error\":{\"type\":\"endpoint-lost\",\"outcome\":\"unknown\"}}";
    assertEquals(new Verdict.Failed("endpoint-lost"), AnswerCheck.check(WHOLE, 502, failure));
    assertInstanceOf(Verdict.Lost.class, AnswerCheck.check(WHOLE, 500, "<html>"));
  }

  @Test
  void echoOfAnotherCallIsWrong() {
    String own =
        "{\"service\":\"haul-api\",\"path\":\"/bookings\",\"key\":\"k1\",\"body\":\"load 7\"}";
    assertEquals(new Verdict.Answered(0), AnswerCheck.check(PLAIN, 201, own));
    assertInstanceOf(Verdict.Wrong.class, check(PLAIN, own.replace("load 7", "load 8")));
    assertInstanceOf(Verdict.Wrong.class, check(PLAIN, own.replace("k1", "k2")));
  }

  private static Verdict check(LoadRequest request, String body) {
    return AnswerCheck.check(request, 200, body);
  }

  private static String event(int token) {
    return event(ADAPTER, EXPECTED.token(token));
  }

  private static String event(AdapterRef adapter, String text) {
    return "{\"id\":\"r\",\"model\":\"" + adapter + "\",\"choices\":[{\"text\":\"" + text + "\"}]}";
  }
}

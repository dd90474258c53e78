package org.hornbeamusher.load;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;

import org.hornbeamusher.ids.AdapterRef;
import org.hornbeamusher.standin.ExpectedResponse;
import org.junit.jupiter.api.Test;

class ResponseCheckerTest {

  private static final AdapterRef ADAPTER = AdapterRef.parse("valuer-llm/utes@1");
  private static final ExpectedResponse EXPECTED = new ExpectedResponse(ADAPTER, "price", 2);
  private static final LoadRequest STREAMED =
      new LoadRequest.Completion(ADAPTER, "price", 2, true, "");
  private static final LoadRequest UNSTREAMED =
      new LoadRequest.Completion(ADAPTER, "price", 2, false, "");
  private static final LoadRequest PLAIN =
      new LoadRequest.PlainCall("haul-api", "/bookings", "load 7", "k1");

  @Test
  void completeResponsesAreAnswered() {
    assertEquals(new Verdict.Answered(2), check(UNSTREAMED, event(ADAPTER, EXPECTED.text())));
    String stream = "data: " + event(0) + "\n\ndata: " + event(1) + "\n\ndata: [DONE]\n\n";
    assertEquals(new Verdict.Answered(2), check(STREAMED, stream));
  }

  /** A caller gets a response that another adapter generated. */
  @Test
  void textOfAnotherAdapterIsWrong() {
    AdapterRef other = AdapterRef.parse("valuer-llm/utes@2");
    String text = new ExpectedResponse(other, "price", 2).text();
    assertInstanceOf(Verdict.Wrong.class, check(UNSTREAMED, event(ADAPTER, text)));
    assertInstanceOf(Verdict.Wrong.class, check(UNSTREAMED, event(other, EXPECTED.text())));
  }

  /** Responses were swapped, and a caller gets the response to another prompt. */
  @Test
  void textOfAnotherPromptIsWrong() {
    String text = new ExpectedResponse(ADAPTER, "another", 2).text();
    assertInstanceOf(Verdict.Wrong.class, check(UNSTREAMED, event(ADAPTER, text)));
  }

  /** Frames were duplicated, lost or reordered, and the stream ended as if it were complete. */
  @Test
  void tokensDuplicatedMissingOrOutOfOrderAreWrong() {
    String end = "data: [DONE]\n\n";
    String first = "data: " + event(0) + "\n\n";
    String second = "data: " + event(1) + "\n\n";
    assertInstanceOf(Verdict.Wrong.class, check(STREAMED, first + first + second + end));
    assertInstanceOf(Verdict.Wrong.class, check(STREAMED, first + end));
    assertInstanceOf(Verdict.Wrong.class, check(STREAMED, second + first + end));
  }

  /** The stream is truncated, and nothing in it tells the caller so. */
  @Test
  void truncatedStreamIsLostUnlessItEndsInTypedFailure() {
    String first = "data: " + event(0) + "\n\n";
    assertInstanceOf(Verdict.Lost.class, check(STREAMED, first));
    String error = "data: {\"error\":{\"type\":\"answer-cut\",\"outcome\":\"unknown\"}}\n\n";
    assertEquals(new Verdict.Failed("answer-cut"), check(STREAMED, first + error));
  }

  @Test
  void refusalsAreDistinguishedFromFailures() {
    String refusal = "{\"error\":{\"type\":\"queue-full\",\"outcome\":\"not-run\"}}";
    assertEquals(
        new Verdict.Refused("queue-full"), ResponseChecker.check(UNSTREAMED, 503, refusal));
    String failure = "{\"error\":{\"type\":\"endpoint-lost\",\"outcome\":\"unknown\"}}";
    assertEquals(
        new Verdict.Failed("endpoint-lost"), ResponseChecker.check(UNSTREAMED, 502, failure));
    assertInstanceOf(Verdict.Lost.class, ResponseChecker.check(UNSTREAMED, 500, "<html>"));
  }

  @Test
  void echoOfAnotherCallIsWrong() {
    String own =
        "{\"service\":\"haul-api\",\"path\":\"/bookings\",\"key\":\"k1\",\"body\":\"load 7\"}";
    assertEquals(new Verdict.Answered(0), ResponseChecker.check(PLAIN, 201, own));
    assertInstanceOf(Verdict.Wrong.class, check(PLAIN, own.replace("load 7", "load 8")));
    assertInstanceOf(Verdict.Wrong.class, check(PLAIN, own.replace("k1", "k2")));
  }

  private static Verdict check(LoadRequest request, String body) {
    return ResponseChecker.check(request, 200, body);
  }

  private static String event(int token) {
    return event(ADAPTER, EXPECTED.token(token));
  }

  private static String event(AdapterRef adapter, String text) {
    return "{\"id\":\"r\",\"model\":\"" + adapter + "\",\"choices\":[{\"text\":\"" + text + "\"}]}";
  }
}

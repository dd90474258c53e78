package org.hornbeamusher.explain;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.Optional;
import java.util.stream.Stream;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.junit.jupiter.api.Test;

/** Explains requests from their id and the logs of several processes. */
class ExplanationTest {

  private static final String PLACED =
      """
      3.78 entry-1 {"time":"2026-03-26T05:43:50.782Z","level":"INFO","event":1103,\
      "name":"REQUEST_PLACED","id":"c8","adapter":"base/a390@1","endpoint":"i-first"}\
      """;
  private static final String CRASHED =
      """
      {"time":"2026-03-26T05:43:51.011Z","name":"ATTEMPT_ENDED","id":"c8",\
      "endpoint":"i-first","end":"endpoint-lost","status":200,"caller_status":200}\
      """;
  private static final String PLACED_AGAIN =
      """
      {"time":"2026-03-26T05:43:51.012Z","name":"REQUEST_PLACED","id":"c8",\
      "adapter":"base/a390@1","endpoint":"i-second"}\
      """;
  private static final String FAILED =
      """
      {"time":"2026-03-26T05:43:51.322Z","name":"ATTEMPT_ENDED","id":"c8",\
      "endpoint":"i-second","end":"endpoint-failed","status":500,"caller_status":200}\
      """;
  private static final String TRUNCATED =
      """
      {"time":"2026-03-26T05:43:51.323Z","name":"REQUEST_ENDED","id":"c8",\
      "cause":"endpoint-failed","status":0,"sends":2}\
      """;
  private static final String REFUSED =
      """
      {"time":"2026-03-26T05:43:51.823Z","name":"REQUEST_ENDED","id":"c8",\
      "cause":"load-too-late","status":503,"sends":0}\
      """;
  private static final String SEEN =
      """
      {"time":"2026-03-26T05:40:00.000Z","name":"ENGINE_SEEN","endpoint":"i-first"}\
      """;
  private static final String UNREACHABLE =
      """
      {"time":"2026-03-26T05:43:51.100Z","name":"ENGINE_UNREACHABLE","reason":"connect-failed"}\
      """;

  private static final String ORDER =
      """
      {"time":"2026-03-26T05:43:51.200Z","name":"ENGINE_ORDERED","key":"%s","endpoint":"i-first"}\
      """;

  /**
   * A stream was truncated because the retry's engine failed. The line of the second attempt must
   * decide, regardless of the order in which the lines are read.
   */
  @Test
  void attemptWithTheCauseOfTheEndDecides() {
    Explanation explanation =
        Explanation.of("c8", lines("entry", TRUNCATED, FAILED, PLACED_AGAIN, CRASHED, PLACED));
    assertEquals("endpoint-failed", explanation.deciding().orElseThrow().field("end"));
    assertEquals(
        List.of("REQUEST_PLACED", "ATTEMPT_ENDED", "REQUEST_PLACED", "ATTEMPT_ENDED"),
        explanation.lines().stream().map(LogLine::name).limit(4).toList());
  }

  /**
   * A request refused because all endpoints were backing off has no line of its own that names an
   * endpoint; the back-off must be found.
   */
  @Test
  void refusalIsExplainedByTheEndpointThatBacksOff() {
    List<LogLine> all =
        Stream.of(
                backoff("entry", "49.000", "i-over", 1_000),
                backoff("entry", "50.000", "i-first", 3_000),
                backoff("other", "51.000", "i-second", 3_000),
                lines("entry", REFUSED.replace("load-too-late", "endpoint-backoff")))
            .flatMap(List::stream)
            .toList();
    Explanation explanation = Explanation.of("c8", all);
    assertEquals("i-first", explanation.deciding().orElseThrow().field("endpoint"));
    assertEquals(2, explanation.lines().size());
  }

  private static List<LogLine> backoff(String source, String second, String endpoint, long millis) {
    return lines(
        source,
        """
        {"time":"2026-03-26T05:43:%sZ","name":"ENDPOINT_BACKOFF","endpoint":"%s","for_ms":%d}\
        """
            .formatted(second, endpoint, millis));
  }

  /**
   * A request waited for an adapter until it was refused. The line of its placement must decide,
   * and the agent's order for that adapter is included; orders for other adapters are not.
   */
  @Test
  void refusedRequestIsExplainedByItsPlacementAndTheOrders() {
    String mine = order("base/a390");
    String other = order("base/a1");
    Explanation explanation =
        Explanation.of(
            "c8",
            Stream.concat(
                    lines("entry", PLACED, REFUSED).stream(), lines("agent", mine, other).stream())
                .toList());
    assertEquals("REQUEST_PLACED", explanation.deciding().orElseThrow().name());
    assertEquals(
        List.of("base/a390"),
        explanation.lines().stream()
            .filter(line -> line.name().equals("ENGINE_ORDERED"))
            .map(line -> line.field("key"))
            .toList());
  }

  /** Guards against a 429 whose account and share an operator has to look for in the logs. */
  @Test
  void refusalBeyondTheShareIsExplainedByTheShare() {
    String beyond =
        """
        {"time":"2026-03-26T05:43:51.800Z","name":"SHARE_EXCEEDED","id":"c8",\
        "account":"depot","outcome":"refused","demand_ms_per_s":4685,"fair_ms_per_s":797}\
        """;
    String ended =
        """
        {"time":"2026-03-26T05:43:51.801Z","name":"REQUEST_ENDED","id":"c8",\
        "cause":"share-exceeded","status":429,"sends":0}\
        """;
    LogLine deciding = Explanation.of("c8", lines("entry", ended, beyond)).deciding().orElseThrow();
    assertEquals("SHARE_EXCEEDED", deciding.name());
    assertEquals("depot", deciding.field("account"));
  }

  /**
   * An agent that cannot reach its engine does not log the endpoint; its log must be identified by
   * earlier lines.
   */
  @Test
  void unreachableEngineIsIncluded() {
    List<LogLine> all =
        Stream.of(
                lines("entry", PLACED, CRASHED),
                lines("agent", SEEN, UNREACHABLE),
                lines("other-agent", UNREACHABLE))
            .flatMap(List::stream)
            .toList();
    List<LogLine> lines = Explanation.of("c8", all).lines();
    assertEquals(
        List.of("agent"),
        lines.stream()
            .filter(line -> line.name().equals("ENGINE_UNREACHABLE"))
            .map(LogLine::source)
            .toList());
  }

  @Test
  void unknownIdHasNoExplanation() {
    Explanation explanation = Explanation.of("other", lines("entry", PLACED, TRUNCATED));
    assertTrue(explanation.lines().isEmpty());
    assertFalse(explanation.deciding().isPresent());
  }

  /**
   * Logs contain stack traces, truncated lines and output of other programs; none of these may make
   * the parser fail.
   */
  @Property(tries = 300, seed = "5")
  void anyTextIsParsedOrSkipped(@ForAll String text) {
    assertEquals(Optional.empty(), LogLine.parse("f", text));
    assertEquals(Optional.empty(), LogLine.parse("f", PLACED.substring(0, 60) + text));
  }

  private static String order(String key) {
    return ORDER.formatted(key);
  }

  private static List<LogLine> lines(String source, String... texts) {
    return Stream.of(texts).map(text -> LogLine.parse(source, text).orElseThrow()).toList();
  }
}

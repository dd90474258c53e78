package org.hornbeamusher.docs;

import java.nio.file.Path;
import java.util.Arrays;
import java.util.HashSet;
import java.util.Locale;
import java.util.Set;
import java.util.function.Function;
import java.util.stream.Collectors;
import org.approvaltests.Approvals;
import org.approvaltests.core.Options;
import org.approvaltests.namer.ApprovalNamer;
import org.approvaltests.reporters.QuietReporter;
import org.hornbeamusher.events.EventType;
import org.hornbeamusher.failure.FailureType;
import org.hornbeamusher.metrics.ProcessMetric;
import org.hornbeamusher.metrics.ServiceMetric;
import org.junit.jupiter.api.Assertions;
import org.junit.jupiter.api.Test;

/**
 * Compares the generated pages in docs/ with the code. A failing test writes the new text as {@code
 * NAME.received.md} next to the page; if the change is intended, rename it to {@code NAME.md}.
 */
class CatalogueTest {

  private static final String PROCESS_TABLE =
      """

      ## For the process

      | metric | kind | meaning |
      |---|---|---|
      """;

  @Test
  void eventsPageListsEveryEvent() {
    approve(
        "EVENTS",
        """
        # Events

        Every event a process logs, one line of JSON each on standard error, with `time`, `level`,
        `event` (the number), `name` and the event's own fields. Numbers are never reused. No field
        ever holds a token or the text of a request. This page is generated from `EventType` and
        compared with it by a test.

        | number | name | level | meaning |
        |---|---|---|---|
        """
            + rows(
                EventType.values(),
                e ->
                    "| %d | %s | %s | %s |"
                        .formatted(e.number(), e.name(), e.level().getName(), e.meaning())));
  }

  @Test
  void failuresPageListsEveryFailure() {
    approve(
        "FAILURES",
        """
        # Failures

        Every failure a caller or an operator can meet. The `type` stands in the body of the answer
        and in the metrics, the number and the HTTP status never change. Beside the type each
        answer names the outcome: `not-run` (the request was not run and will not be), `ran` or
        `unknown`. In the message, `%s` is filled in. This page is generated from `FailureType` and
        compared with it by a test.

        | number | type | HTTP status | severity | message |
        |---|---|---|---|---|
        """
            + rows(
                FailureType.values(),
                f ->
                    "| %d | `%s` | %d | %s | %s |"
                        .formatted(
                            f.number(),
                            f.label(),
                            f.httpStatus(),
                            f.severity().name().toLowerCase(Locale.ROOT),
                            f.template())));
  }

  @Test
  void metricsPageListsEveryMetric() {
    approve(
        "METRICS",
        """
        # Metrics

        `GET /metrics` of an entry or an agent, with an operator's token, answers JSON, or the
        Prometheus text format when the request accepts `text/plain` or names
        `?format=prometheus`. An operator sees the metrics of its own partner's services and those
        of the process. Histograms show about the last five minutes; counts run since the process
        started. In the Prometheus format the names begin with `hornbeamusher_`, dots and dashes
        become underscores and the service is a label. This page is generated from `ServiceMetric`
        and `ProcessMetric` and compared with them by a test.

        ## For each service: `service.NAME.METRIC`

        Load stalls (`load-stall`) are the time requests spend waiting for an adapter to be loaded.
        Batch efficiency (`batch-efficiency`) is the share of an engine's batch that is filled
        while it has work; samples are taken at equal intervals.

        | metric | kind | meaning |
        |---|---|---|
        """
            + rows(
                ServiceMetric.values(),
                m -> "| `%s` | %s | %s |".formatted(m.label(), m.kind(), m.meaning()))
            + PROCESS_TABLE
            + rows(
                ProcessMetric.values(),
                m -> "| `%s` | %s | %s |".formatted(m.fullName(), m.kind(), m.meaning())));
  }

  /**
   * Two events or failures with the same number could not be distinguished in a log or an alarm.
   */
  @Test
  void numbersAreUnique() {
    Set<Integer> numbers = new HashSet<>();
    for (EventType type : EventType.values()) {
      Assertions.assertTrue(numbers.add(type.number()), type.name());
    }
    for (FailureType type : FailureType.values()) {
      Assertions.assertTrue(numbers.add(type.number()), type.name());
    }
  }

  private static <T> String rows(T[] entries, Function<T, String> row) {
    return Arrays.stream(entries).map(row).collect(Collectors.joining("\n", "", "\n"));
  }

  private static void approve(String page, String text) {
    Options options = new Options(new QuietReporter());
    Approvals.verify(
        text, options.forFile().withExtension(".md").forFile().withNamer(new Page(page)));
  }

  /** Locates the approved file of a page in docs/. */
  private record Page(String name) implements ApprovalNamer {

    private static final Path DOCS = Path.of("..", "docs");

    @Override
    public java.io.File getApprovedFile(String extensionWithDot) {
      return DOCS.resolve(name + extensionWithDot).toFile();
    }

    @Override
    public java.io.File getReceivedFile(String extensionWithDot) {
      return DOCS.resolve(name + ".received" + extensionWithDot).toFile();
    }

    @Override
    public String getApprovalName() {
      return name;
    }

    @Override
    public String getSourceFilePath() {
      return DOCS.toString();
    }

    @Override
    public ApprovalNamer addAdditionalInformation(String info) {
      return this;
    }

    @Override
    public String getAdditionalInformation() {
      return "";
    }
  }
}

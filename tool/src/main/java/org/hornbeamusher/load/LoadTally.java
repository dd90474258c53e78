package org.hornbeamusher.load;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.HdrHistogram.Histogram;

/** Accumulates the verdicts and latencies of a run. Thread-safe. */
final class LoadTally {

  private static final int SIGNIFICANT_DIGITS = 3;
  private static final int MAX_EXAMPLES = 5;

  private final Histogram total = new Histogram(SIGNIFICANT_DIGITS);
  private final Histogram firstToken = new Histogram(SIGNIFICANT_DIGITS);
  private final Histogram loadStall = new Histogram(SIGNIFICANT_DIGITS);
  private final Map<String, Integer> refused = new TreeMap<>();
  private final Map<String, Integer> failed = new TreeMap<>();
  private final List<String> examples = new ArrayList<>();
  private int answered;
  private int wrong;
  private int lost;
  private int repeated;
  private long tokens;

  /** Adds the outcome of a request's first send. */
  synchronized void add(Verdict verdict, Latencies timing) {
    switch (verdict) {
      case Verdict.Answered complete -> {
        answered++;
        tokens += complete.tokens();
        total.recordValue(Math.max(0, timing.totalMicros()));
        firstToken.recordValue(Math.max(0, timing.firstMicros()));
        loadStall.recordValue(Math.max(0, timing.stallMillis() * 1_000));
      }
      case Verdict.Refused refusal -> refused.merge(refusal.type(), 1, Integer::sum);
      case Verdict.Failed failure -> failed.merge(failure.type(), 1, Integer::sum);
      case Verdict.Wrong bad -> {
        wrong++;
        example("wrong: " + bad.reason());
      }
      case Verdict.Lost loss -> {
        lost++;
        example("lost: " + loss.reason());
      }
    }
  }

  /**
   * Adds the outcome of a second send under a key whose first send was answered. A response that is
   * not a replay of the first one means that the request ran twice.
   */
  synchronized void addSecondSend(Verdict verdict, boolean replayed) {
    boolean hasResponse = verdict instanceof Verdict.Answered || verdict instanceof Verdict.Wrong;
    if (hasResponse && !replayed) {
      repeated++;
      example("repeated: a key that had been answered was run again");
    }
  }

  synchronized LoadReport report(long elapsedMicros) {
    return new LoadReport(
        answered,
        refused,
        failed,
        wrong,
        lost,
        repeated,
        tokens,
        elapsedMicros,
        total.copy(),
        firstToken.copy(),
        loadStall.copy(),
        examples);
  }

  private void example(String text) {
    if (examples.size() < MAX_EXAMPLES) {
      examples.add(text);
    }
  }

  /** The latencies of one request. */
  record Latencies(long totalMicros, long firstMicros, long stallMillis) {}
}

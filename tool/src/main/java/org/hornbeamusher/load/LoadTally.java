package org.hornbeamusher.load;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.HdrHistogram.Histogram;

/** Adds up verdicts and latencies of a run. */
final class LoadTally {

  private static final int DIGITS = 3;
  private static final int MAX_EXAMPLES = 5;

  private final Histogram total = new Histogram(DIGITS);
  private final Histogram firstToken = new Histogram(DIGITS);
  private final Histogram loadStall = new Histogram(DIGITS);
  private final Map<String, Integer> refused = new TreeMap<>();
  private final Map<String, Integer> failed = new TreeMap<>();
  private final List<String> examples = new ArrayList<>();
  private int answered;
  private int wrong;
  private int lost;
  private int repeated;
  private long tokens;

  /** Adds a request that was sent for the first time. */
  synchronized void add(Verdict verdict, Timing timing) {
    switch (verdict) {
      case Verdict.Answered whole -> {
        answered++;
        tokens += whole.tokens();
        total.recordValue(Math.max(0, timing.totalMicros()));
        firstToken.recordValue(Math.max(0, timing.firstMicros()));
        loadStall.recordValue(Math.max(0, timing.stallMillis() * 1_000));
      }
      case Verdict.Refused refusal -> refused.merge(refusal.type(), 1, Integer::sum);
      case Verdict.Failed failure -> failed.merge(failure.type(), 1, Integer::sum);
      case Verdict.Wrong bad -> {
        wrong++;
        example("wrong: " + bad.why());
      }
      case Verdict.Lost gone -> {
        lost++;
        example("lost: " + gone.why());
      }
    }
  }

  /**
   * Adds the second answer to a key whose first one was whole: unless it is the first one replayed,
   * the request ran again.
   */
  synchronized void addResent(Verdict verdict, boolean replayed) {
    boolean answer = verdict instanceof Verdict.Answered || verdict instanceof Verdict.Wrong;
    if (answer && !replayed) {
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

  /** When things happened in one request. */
  record Timing(long totalMicros, long firstMicros, long stallMillis) {}
}

package org.hornbeamusher.shares;

import java.util.HashMap;
import java.util.Map;

/**
 * The usual duration of a run, by kind of request. An adapter slot and a request slot are occupied
 * for as long as a run lasts, so a kind that runs ten times as long uses ten times as much of a
 * share.
 */
public final class RunTimes {

  /** Duration of a run of a kind that has not been seen. */
  private static final long INITIAL_MILLIS = 500;

  /** Averages over about ten runs, because run times vary with the length of the output. */
  private static final double LATEST_WEIGHT = 0.1;

  /** More kinds than a configuration has routes in use. */
  private static final int MAX_KINDS = 1_024;

  private final Map<String, Double> means = new HashMap<>();

  /**
   * Records a run that has ended.
   *
   * @param kind the kind of request
   * @param tookMillis its duration
   */
  public void record(String kind, long tookMillis) {
    Double mean = means.get(kind);
    if (mean != null || means.size() < MAX_KINDS) {
      double known = mean == null ? tookMillis : mean;
      means.put(kind, known + LATEST_WEIGHT * (tookMillis - known));
    }
  }

  /**
   * Returns the usual duration of a run.
   *
   * @param kind the kind of request
   * @return milliseconds, at least 1
   */
  public long millis(String kind) {
    Double mean = means.get(kind);
    return mean == null ? INITIAL_MILLIS : Math.max(1, Math.round(mean));
  }
}

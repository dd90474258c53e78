package org.hornbeamusher.membership;

import java.util.ArrayDeque;
import java.util.OptionalInt;

/**
 * How many peers share something, by counts that may miss some of them.
 *
 * <p>A list lacks peers whose entries lapsed, and who is cut off counts only those it reaches. A
 * share of what is left would be too large then. So the most of the last counts is used, and while
 * there are no counts at all, the last one holds: a process that receives none is cut off itself.
 *
 * <p>Not safe for use by several threads at once.
 */
public final class RecentMaximumPeerCount {

  private final long windowMillis;

  /** Falling counts, the oldest first. */
  private final ArrayDeque<Count> counts = new ArrayDeque<>();

  /**
   * Creates a counter that knows no count.
   *
   * @param windowMillis for how long before the last count a larger one holds
   */
  public RecentMaximumPeerCount(long windowMillis) {
    this.windowMillis = windowMillis;
  }

  /**
   * Takes a count.
   *
   * @param peers how many were seen
   * @param now milliseconds
   */
  public void record(int peers, long now) {
    while (!counts.isEmpty() && counts.peekLast().peers <= peers) {
      counts.removeLast();
    }
    counts.addLast(new Count(peers, now));
    while (now - counts.peekFirst().millis > windowMillis) {
      counts.removeFirst();
    }
  }

  /**
   * Returns how many peers there are.
   *
   * @return empty before the first count
   */
  public OptionalInt maximum() {
    return counts.isEmpty() ? OptionalInt.empty() : OptionalInt.of(counts.peekFirst().peers);
  }

  private record Count(int peers, long millis) {}
}

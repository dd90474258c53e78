package org.hornbeamusher.membership;

import java.util.ArrayDeque;
import java.util.OptionalInt;

/**
 * The number of peers among which a resource is divided: the maximum of the counts in a sliding
 * window.
 *
 * <p>A single count may be too low: a list lacks peers whose entries have expired, and a process
 * cut off by a network partition counts only the peers that it reaches. The share per peer would
 * then be too large. So the maximum of the recent counts is used. While no counts arrive, the last
 * result remains valid, because a process that receives none is cut off itself.
 *
 * <p>Not thread-safe.
 */
public final class RecentMaximumPeerCount {

  private final long windowMillis;

  /** Counts that may become the maximum, in decreasing order and the oldest first. */
  private final ArrayDeque<Sample> samples = new ArrayDeque<>();

  /**
   * Creates an instance without counts.
   *
   * @param windowMillis length of the window, which ends at the last count
   */
  public RecentMaximumPeerCount(long windowMillis) {
    this.windowMillis = windowMillis;
  }

  /**
   * Records a count.
   *
   * @param peers number of peers counted
   * @param now current time in milliseconds
   */
  public void record(int peers, long now) {
    while (!samples.isEmpty() && samples.peekLast().peers <= peers) {
      samples.removeLast();
    }
    samples.addLast(new Sample(peers, now));
    while (now - samples.peekFirst().millis > windowMillis) {
      samples.removeFirst();
    }
  }

  /**
   * Returns the maximum of the counts in the window.
   *
   * @return the number of peers, or empty before the first count
   */
  public OptionalInt maximum() {
    return samples.isEmpty() ? OptionalInt.empty() : OptionalInt.of(samples.peekFirst().peers);
  }

  private record Sample(int peers, long millis) {}
}

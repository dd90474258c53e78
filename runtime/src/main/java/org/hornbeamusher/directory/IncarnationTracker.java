package org.hornbeamusher.directory;

import java.util.Iterator;
import java.util.LinkedHashSet;
import java.util.Set;
import org.hornbeamusher.ids.EndpointIncarnation;

/**
 * Determines the current incarnation of one endpoint id from two unsynchronised sources.
 *
 * <p>The sources are the list, which lags by seconds, and the endpoint's agent, which lags by less
 * than half a second but may be suspended or disconnected. Neither the start times (clocks may be
 * set back) nor the times of arrival (either source may be late) show which of two incarnations is
 * newer. The order in which <em>one</em> source reports them does, because no source goes back to
 * an earlier incarnation:
 *
 * <ul>
 *   <li>a source that reported A and now reports B has seen the end of A: A is <em>former</em> and
 *       never becomes current again, whichever source reports it;
 *   <li>a start time that is not former and that its source has not reported before is newer than
 *       the current one, with one exception:
 *   <li>if the list contradicts a connected agent and neither source has moved on from the
 *       incarnation that the other reports, the agent wins. This happens at an entry that has just
 *       started and reads a list that still contains the previous incarnation. Neither of the two
 *       is former then, so that a wrong choice is corrected by the next report of the source that
 *       lagged. The same holds for an endpoint that starts twice so fast that one of the sources
 *       misses the incarnation in between.
 * </ul>
 *
 * <p>Example: list and agent report 100. The engine crashes and starts again with its clock set
 * back to 70. The agent reports 70: 100 is former, 70 is current. For two more seconds the list
 * contains 100, which is ignored.
 *
 * <p>Rejected alternatives: the greater start time wins (after a clock was set back, the ended
 * incarnation stays current for good); the last report wins (list and agent then overwrite each
 * other's report for as long as the list lags).
 */
final class IncarnationTracker {

  /**
   * Limit on the former starts; late reports lag by seconds, which is too short for more starts.
   */
  private static final int MAX_FORMER = 16;

  private final Set<Long> former = new LinkedHashSet<>();
  private long listed = EndpointIncarnation.UNKNOWN_START;
  private long reported = EndpointIncarnation.UNKNOWN_START;
  private long current = EndpointIncarnation.UNKNOWN_START;
  private boolean agentConnected;

  /** Applies the incarnation that the list contains. */
  void listed(long start) {
    if (start == EndpointIncarnation.UNKNOWN_START || start == listed || former.contains(start)) {
      return;
    }
    markFormer(listed);
    listed = start;
    boolean undecided = agentConnected && reported == current && !former.contains(current);
    if (current == EndpointIncarnation.UNKNOWN_START || !undecided) {
      current = start;
    }
  }

  /** Applies the incarnation that the endpoint's agent reports. */
  void agentReported(long start) {
    if (start == EndpointIncarnation.UNKNOWN_START || former.contains(start)) {
      return;
    }
    agentConnected = true;
    if (start != reported) {
      markFormer(reported);
      reported = start;
    }
    current = start;
  }

  /** Handles the loss of the agent, or its report that no incarnation is running. */
  void agentLost() {
    agentConnected = false;
  }

  boolean agentConnected() {
    return agentConnected;
  }

  /** Returns the start of the current incarnation. */
  long current() {
    return current;
  }

  private void markFormer(long start) {
    if (start == EndpointIncarnation.UNKNOWN_START) {
      return;
    }
    former.add(start);
    Iterator<Long> oldestFirst = former.iterator();
    while (former.size() > MAX_FORMER) {
      oldestFirst.next();
      oldestFirst.remove();
    }
  }
}

package org.hornbeamusher.directory;

import java.util.Iterator;
import java.util.LinkedHashSet;
import java.util.Set;
import org.hornbeamusher.ids.EndpointLife;

/**
 * Decides which life of one endpoint id is in force.
 *
 * <p>Two sources speak of the lives of an engine: the list, which lags by seconds, and the agent
 * beside it, which lags by less than half a second but may be frozen or cut off. Neither the size
 * of a start (clocks are set back) nor the moment at which it is received (either source may be the
 * late one) says which life is newer. What does is the order in which <em>one</em> source names
 * them, because each source only moves forward:
 *
 * <ul>
 *   <li>a source that named A and now names B has seen A end: A is <em>former</em>, and no source
 *       brings it back, whatever its start;
 *   <li>a start that is not former and that its source did not name before is newer than the one in
 *       force, with one exception:
 *   <li>where the list contradicts a connected agent and neither has moved away from the other's
 *       life, the agent is believed. This is so at an entry that has just started and reads a list
 *       that still names the life before. None of the two is former then, so that a wrong guess is
 *       put right by the next report of the source that lagged. It is the same for an endpoint that
 *       starts twice so fast that one of the sources misses the life in between.
 * </ul>
 *
 * <p>Example: list and agent name 100. The engine crashes and starts again, its clock set back to
 * 70. The agent names 70: 100 is former, 70 in force. For two more seconds the list names 100,
 * which changes nothing.
 *
 * <p>Rejected: the greater start wins (a stepped clock keeps the dead life in force for good); the
 * last report wins (list and agent then undo each other's report for as long as the list lags).
 */
final class LifeSuccession {

  /** Late reports lag by seconds; an endpoint does not start as often as this meanwhile. */
  private static final int MOST_FORMER = 16;

  private final Set<Long> former = new LinkedHashSet<>();
  private long listed = EndpointLife.UNKNOWN_START;
  private long reported = EndpointLife.UNKNOWN_START;
  private long inForce = EndpointLife.UNKNOWN_START;
  private boolean agentConnected;

  /** Takes the life that the list names. */
  void listed(long start) {
    if (start == EndpointLife.UNKNOWN_START || start == listed || former.contains(start)) {
      return;
    }
    supersede(listed);
    listed = start;
    boolean undecided = agentConnected && reported == inForce && !former.contains(inForce);
    if (inForce == EndpointLife.UNKNOWN_START || !undecided) {
      inForce = start;
    }
  }

  /** Takes the life that the agent beside the endpoint names. */
  void agentReported(long start) {
    if (start == EndpointLife.UNKNOWN_START || former.contains(start)) {
      return;
    }
    agentConnected = true;
    if (start != reported) {
      supersede(reported);
      reported = start;
    }
    inForce = start;
  }

  /** The agent is gone, or knows of no life. */
  void agentLost() {
    agentConnected = false;
  }

  boolean agentConnected() {
    return agentConnected;
  }

  /** Returns the start of the life in force. */
  long inForce() {
    return inForce;
  }

  private void supersede(long start) {
    if (start == EndpointLife.UNKNOWN_START) {
      return;
    }
    former.add(start);
    Iterator<Long> oldestFirst = former.iterator();
    while (former.size() > MOST_FORMER) {
      oldestFirst.next();
      oldestFirst.remove();
    }
  }
}

package org.hornbeamusher.admission;

import java.util.HashMap;
import java.util.Iterator;
import java.util.Map;

/**
 * A node of the share hierarchy: the pool, a partner, a service or a caller.
 *
 * <p>A child's fair share of its parent is its weight divided by the weights of the active
 * children. An idle child is not counted, so its share is lent to the others; it is counted again
 * from its next request on, which reclaims the share.
 */
final class ShareNode {

  /** Requests in flight below this node; never negative. */
  private long inFlight;

  /** Time of the last request below this node. */
  private long lastRequestMillis;

  private int weight = 1;
  private final Map<Object, ShareNode> children = new HashMap<>();

  /** Finds or creates a child, marks it active now and sets its weight. */
  ShareNode activate(Object key, int childWeight, long now) {
    ShareNode child = children.computeIfAbsent(key, unused -> new ShareNode());
    child.weight = Math.max(1, childWeight);
    child.lastRequestMillis = now;
    return child;
  }

  /** Returns the child or null. */
  ShareNode child(Object key) {
    return children.get(key);
  }

  /** Returns the fair share of a child when the share of this node is {@code total}. */
  double fairShare(ShareNode child, double total, long now, long idleTimeoutMillis) {
    long weights = 0;
    for (ShareNode other : children.values()) {
      if (other.active(now, idleTimeoutMillis)) {
        weights += other.weight;
      }
    }
    return total * child.weight / Math.max(child.weight, weights);
  }

  void add(long more) {
    inFlight = Math.max(0, inFlight + more);
  }

  long inFlight() {
    return inFlight;
  }

  /** Removes idle nodes, so that memory use depends on the active callers only. */
  void removeIdle(long now, long idleTimeoutMillis) {
    Iterator<ShareNode> all = children.values().iterator();
    while (all.hasNext()) {
      ShareNode child = all.next();
      child.removeIdle(now, idleTimeoutMillis);
      if (!child.active(now, idleTimeoutMillis)) {
        all.remove();
      }
    }
  }

  private boolean active(long now, long idleTimeoutMillis) {
    return inFlight > 0 || now - lastRequestMillis < idleTimeoutMillis;
  }
}

package org.hornbeamusher.scheduling;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeSet;
import java.util.function.Consumer;
import java.util.function.Predicate;
import java.util.function.ToDoubleFunction;

/**
 * A node of the share hierarchy: the endpoint, a partner, a service or a caller.
 *
 * <p>A node holds the start tag by which its parent orders it, and the virtual time of its own
 * children. Only a caller's node holds requests.
 */
final class ShareNode {

  final ShareClass shareClass;
  final Optional<ShareNode> parent;

  /** Weight within the parent's share, relative to the active siblings. */
  private int weight;

  /** Work started so far divided by weight; raised to the parent's virtual time after idleness. */
  private double startTag;

  /** Lowest start tag of the children with queued requests when one was served; never decreases. */
  private double virtualTime;

  private int running;
  private int waiting;
  private final Map<ShareClass, ShareNode> children = new LinkedHashMap<>();
  private final TreeSet<ScheduledRequest> requests = new TreeSet<>(ScheduledRequest.ORDER);

  ShareNode(ShareClass shareClass, Optional<ShareNode> parent, int weight) {
    this.shareClass = shareClass;
    this.parent = parent;
    this.weight = Math.max(1, weight);
    this.startTag = parent.map(node -> node.virtualTime).orElse(0.0);
  }

  /** Finds or creates a child; the latest weight applies. */
  ShareNode child(ShareClass childClass, int childWeight) {
    ShareNode child =
        children.computeIfAbsent(
            childClass, key -> new ShareNode(key, Optional.of(this), childWeight));
    child.weight = Math.max(1, childWeight);
    return child;
  }

  boolean active() {
    return waiting + running > 0;
  }

  int waiting() {
    return waiting;
  }

  int running() {
    return running;
  }

  /**
   * Returns the number of queued requests below, plus {@code additional}, divided by the weight.
   */
  double queuedPerWeight(int additional) {
    return (double) (waiting + additional) / weight;
  }

  Collection<ScheduledRequest> requests() {
    return requests;
  }

  /** Returns the queued requests of this node and all nodes below. */
  List<ScheduledRequest> allRequests() {
    List<ScheduledRequest> all = new ArrayList<>(requests);
    children.values().forEach(child -> all.addAll(child.allRequests()));
    return all;
  }

  /** Returns this node's fraction of its parent's share among the active siblings. */
  double fraction() {
    if (parent.isEmpty()) {
      return 1;
    }
    int siblings = 0;
    for (ShareNode sibling : parent.get().children.values()) {
      siblings += sibling.active() && sibling != this ? sibling.weight : 0;
    }
    return (double) weight / (weight + siblings);
  }

  void add(ScheduledRequest request) {
    requests.add(request);
    forEachUpwards(node -> node.waiting++);
  }

  boolean remove(ScheduledRequest request) {
    if (!requests.remove(request)) {
      return false;
    }
    forEachUpwards(node -> node.waiting--);
    return true;
  }

  /** Moves a request from waiting to running and charges its cost on every level. */
  void start(ScheduledRequest request, double cost) {
    remove(request);
    forEachUpwards(
        node -> {
          node.running++;
          node.startTag += cost / node.weight;
        });
  }

  /** Ends a request and corrects its charge by the actual minus the expected cost. */
  void end(double costCorrection) {
    forEachUpwards(
        node -> {
          node.running--;
          node.startTag += costCorrection / node.weight;
        });
  }

  /**
   * Chooses the request to start next.
   *
   * @param startable which requests may start now
   * @param guaranteedSlots batch slots guaranteed to this node; 0 switches the guarantee off
   */
  Optional<ScheduledRequest> next(Predicate<ScheduledRequest> startable, double guaranteedSlots) {
    if (children.isEmpty()) {
      return requests.stream().filter(startable).findFirst();
    }
    removeIdle();
    List<Candidate> candidates = candidates(guaranteedSlots);
    for (Candidate candidate : candidates) {
      Optional<ScheduledRequest> found = candidate.node.next(startable, candidate.guaranteedSlots);
      if (found.isPresent()) {
        advanceVirtualTime(candidates);
        return found;
      }
      candidate.node.startTag = Math.max(candidate.node.startTag, virtualTime);
    }
    return Optional.empty();
  }

  /** Returns the child with the greatest value of a measure. */
  Optional<ShareNode> greatestChild(ToDoubleFunction<ShareNode> measure) {
    return children.values().stream().max(Comparator.comparingDouble(measure));
  }

  private record Candidate(ShareNode node, double guaranteedSlots) {

    boolean belowGuaranteedSlots() {
      return node.running + 1 <= Math.floor(guaranteedSlots + ROUNDING_TOLERANCE);
    }

    private static final double ROUNDING_TOLERANCE = 1e-9;
  }

  private List<Candidate> candidates(double guaranteedSlots) {
    List<Candidate> candidates = new ArrayList<>();
    for (ShareNode child : children.values()) {
      if (child.waiting > 0) {
        candidates.add(new Candidate(child, guaranteedSlots * child.fraction()));
      }
    }
    candidates.sort(
        Comparator.<Candidate, Boolean>comparing(candidate -> !candidate.belowGuaranteedSlots())
            .thenComparingDouble(candidate -> candidate.node.startTag));
    return candidates;
  }

  private void advanceVirtualTime(List<Candidate> candidates) {
    candidates.stream()
        .mapToDouble(candidate -> candidate.node.startTag)
        .min()
        .ifPresent(lowestTag -> virtualTime = Math.max(virtualTime, lowestTag));
  }

  private void removeIdle() {
    children.values().removeIf(child -> !child.active() && child.startTag <= virtualTime);
  }

  private void forEachUpwards(Consumer<ShareNode> change) {
    Optional<ShareNode> node = Optional.of(this);
    while (node.isPresent()) {
      change.accept(node.get());
      node = node.get().parent;
    }
  }
}

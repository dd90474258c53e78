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
 * One class of the share hierarchy: the endpoint, a partner, a service or a caller.
 *
 * <p>A node keeps the start tag by which its parent orders it, and the virtual time of its own
 * children. Only a caller's node holds requests.
 */
final class ShareNode {

  final ShareClass shareClass;
  final Optional<ShareNode> parent;

  /** Part of the parent's share, relative to the siblings that are active. */
  private int weight;

  /** Work started so far over weight, lifted to the parent's virtual time after idleness. */
  private double startTag;

  /** The least start tag of a child that waited when one was served; never falls. */
  private double virtualTime;

  private int running;
  private int waiting;
  private final Map<ShareClass, ShareNode> children = new LinkedHashMap<>();
  private final TreeSet<Waiting> requests = new TreeSet<>(Waiting.ORDER);

  ShareNode(ShareClass shareClass, Optional<ShareNode> parent, int weight) {
    this.shareClass = shareClass;
    this.parent = parent;
    this.weight = Math.max(1, weight);
    this.startTag = parent.map(node -> node.virtualTime).orElse(0.0);
  }

  /** Finds or creates a child; the weight in force is the one that came last. */
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

  /** Returns the requests that wait below, over the weight. */
  double waitingOverWeight(int more) {
    return (double) (waiting + more) / weight;
  }

  Collection<Waiting> requests() {
    return requests;
  }

  /** Returns the requests that wait in this class and below. */
  List<Waiting> allRequests() {
    List<Waiting> all = new ArrayList<>(requests);
    children.values().forEach(child -> all.addAll(child.allRequests()));
    return all;
  }

  /** Returns this node's part of its parent among the siblings that are active. */
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

  void add(Waiting request) {
    requests.add(request);
    forEachUpwards(node -> node.waiting++);
  }

  boolean remove(Waiting request) {
    if (!requests.remove(request)) {
      return false;
    }
    forEachUpwards(node -> node.waiting--);
    return true;
  }

  /** Moves a request from waiting to running and charges its cost on every level. */
  void start(Waiting request, double cost) {
    remove(request);
    forEachUpwards(
        node -> {
          node.running++;
          node.startTag += cost / node.weight;
        });
  }

  /** Ends a request and corrects its charge: what it took less what it was expected to take. */
  void end(double costCorrection) {
    forEachUpwards(
        node -> {
          node.running--;
          node.startTag += costCorrection / node.weight;
        });
  }

  /**
   * Chooses the request that starts next.
   *
   * @param startable what may start now
   * @param places batch places that belong to this node; 0 switches the guarantee off
   */
  Optional<Waiting> next(Predicate<Waiting> startable, double places) {
    if (children.isEmpty()) {
      return requests.stream().filter(startable).findFirst();
    }
    forgetIdle();
    List<Candidate> candidates = candidates(places);
    for (Candidate candidate : candidates) {
      Optional<Waiting> found = candidate.node.next(startable, candidate.places);
      if (found.isPresent()) {
        advanceVirtualTime(candidates);
        return found;
      }
      candidate.node.startTag = Math.max(candidate.node.startTag, virtualTime);
    }
    return Optional.empty();
  }

  /** Returns the child for which a measure is greatest. */
  Optional<ShareNode> greatestChild(ToDoubleFunction<ShareNode> measure) {
    return children.values().stream().max(Comparator.comparingDouble(measure));
  }

  private record Candidate(ShareNode node, double places) {

    boolean belowWholePlaces() {
      return node.running + 1 <= Math.floor(places + ROUNDING);
    }

    private static final double ROUNDING = 1e-9;
  }

  private List<Candidate> candidates(double places) {
    List<Candidate> candidates = new ArrayList<>();
    for (ShareNode child : children.values()) {
      if (child.waiting > 0) {
        candidates.add(new Candidate(child, places * child.fraction()));
      }
    }
    candidates.sort(
        Comparator.<Candidate, Boolean>comparing(candidate -> !candidate.belowWholePlaces())
            .thenComparingDouble(candidate -> candidate.node.startTag));
    return candidates;
  }

  private void advanceVirtualTime(List<Candidate> candidates) {
    candidates.stream()
        .mapToDouble(candidate -> candidate.node.startTag)
        .min()
        .ifPresent(least -> virtualTime = Math.max(virtualTime, least));
  }

  private void forgetIdle() {
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

package org.hornbeamusher.scheduling;

import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.LinkedList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Predicate;
import org.hornbeamusher.ids.ServiceName;

/**
 * Hierarchical weighted fair queue that decides which request takes a free batch slot: first by
 * partner, then by service, then by caller.
 *
 * <p>On each level the class with the lowest <em>start tag</em> goes first: the work (tokens) that
 * it has started so far, divided by its weight (start-time fair queueing). Two classes that both
 * have requests to start thus get work in proportion to their weights, to within one request each,
 * whatever the lengths of their requests. The charge is corrected when a request ends, so a caller
 * that asks for many tokens and uses few is not charged for those it did not use. A class that was
 * idle returns at the level's virtual time: it gets no credit for the time in which it was idle and
 * owes nothing for capacity that it had borrowed. In order of arrival, by contrast, the partner,
 * service or caller that sends most or sends the longest requests would get most, and a
 * well-behaved caller would wait behind a backlog that is not its own.
 *
 * <p>Example: weights 3 and 1, every request costs 100 tokens. Tags start at 0; after A, B, A, A
 * they are 100 and 100, and so on: three of four batch slots go to A. When B stops, A takes every
 * slot; when B comes back its tag is raised to A's, and from the next free slot on it again has one
 * in four.
 *
 * <p><b>Guaranteed slots.</b> By tags alone, a partner that returns while others have borrowed the
 * whole batch gets its share of each slot that becomes free: for equal weights, half of its slots
 * are back after half a batch has ended and all of them after a whole batch. Therefore a class that
 * runs fewer requests than its guaranteed whole slots (batch × weight / active weights, rounded
 * down) goes before every class that does not. This is the max-min sharing of slots with
 * redistribution in section 5 of Li Jin, "Locality Aware Fair Scheduling for Hammr", 2012, without
 * its preemption: an interrupted response would cost more than the slot is worth. Whole slots alone
 * would not suffice: with weights 3 and 1 and a batch of 2 the second class is guaranteed none and
 * would starve, and so would each of hundreds of callers. The tags account for the fractions.
 *
 * <p>A class whose requests all wait for loads is skipped and its tag raised like that of an idle
 * class; otherwise it would accumulate credit while its loads are pending and take the whole batch
 * when its adapter arrives.
 *
 * <p>Within one caller the order is by arrival time plus twice the expected run time. A short
 * request overtakes a long one only if the long one arrived less than twice the difference of their
 * run times before it; so the wait of a long request is bounded in proportion to its own length.
 */
final class FairQueue {

  /** How far a request is moved back in the queue, in multiples of its expected run time. */
  private static final double SHORT_FIRST_FACTOR = 2;

  private final SchedulerSettings settings;
  private final ShareNode root = new ShareNode(new ShareClass.Endpoint(), Optional.empty(), 1);
  private final Map<Long, ScheduledRequest> waiting = new LinkedHashMap<>();
  private final Map<Long, ShareNode> leaves = new HashMap<>();
  private final Map<ServiceName, Integer> byService = new HashMap<>();

  FairQueue(SchedulerSettings settings) {
    this.settings = settings;
  }

  int size() {
    return waiting.size();
  }

  Collection<ScheduledRequest> all() {
    return waiting.values();
  }

  Optional<ScheduledRequest> find(long ticket) {
    return Optional.ofNullable(waiting.get(ticket));
  }

  /** Adds a request with its expected run time. */
  ScheduledRequest add(QueuedRequest request, double runMillis) {
    double penalty =
        settings.uses(SchedulerFeature.SHORT_FIRST) ? SHORT_FIRST_FACTOR * runMillis : 0;
    ScheduledRequest added = new ScheduledRequest(request, request.arrivedMillis() + penalty);
    ShareNode leaf = leaf(request);
    leaf.add(added);
    waiting.put(request.ticket(), added);
    leaves.put(request.ticket(), leaf);
    byService.merge(request.service(), 1, Integer::sum);
    return added;
  }

  /** Removes a request that will not be started. */
  void remove(ScheduledRequest request) {
    long ticket = request.request.ticket();
    if (waiting.remove(ticket) != null) {
      decrementServiceCount(request);
      leaves.remove(ticket).remove(request);
    }
  }

  /** Chooses the request to start next; changes only the tags of classes that are skipped. */
  Optional<ScheduledRequest> next(Predicate<ScheduledRequest> startable) {
    double guaranteedSlots =
        settings.uses(SchedulerFeature.GUARANTEED_PLACES) ? settings.batch() : 0;
    return root.next(startable, guaranteedSlots);
  }

  /** Records that a request was started. */
  void started(ScheduledRequest request) {
    waiting.remove(request.request.ticket());
    decrementServiceCount(request);
    leaves.get(request.request.ticket()).start(request, request.request.costTokens());
  }

  /**
   * Records that a started request ended.
   *
   * @param ticket the request
   * @param costCorrection actual minus expected cost, in tokens
   */
  void ended(long ticket, double costCorrection) {
    ShareNode leaf = leaves.remove(ticket);
    if (leaf != null) {
      leaf.end(costCorrection);
    }
  }

  /** Returns how many requests of a service are queued. */
  int queuedCount(ServiceName service) {
    return byService.getOrDefault(service, 0);
  }

  ShareNode root() {
    return root;
  }

  /** Returns the class of a request's service, within which the service's queue limit is shared. */
  ShareNode serviceNode(QueuedRequest like) {
    return leaf(like).parent.orElse(root);
  }

  /** Returns the classes of a request from its partner down to its caller. */
  List<ShareNode> path(QueuedRequest like) {
    LinkedList<ShareNode> path = new LinkedList<>();
    ShareNode node = leaf(like);
    while (node.parent.isPresent()) {
      path.addFirst(node);
      node = node.parent.get();
    }
    return path;
  }

  private void decrementServiceCount(ScheduledRequest request) {
    byService.computeIfPresent(
        request.request.service(), (key, count) -> count == 1 ? null : Integer.valueOf(count - 1));
  }

  private ShareNode leaf(QueuedRequest request) {
    if (!settings.uses(SchedulerFeature.FAIR_SHARES)) {
      return root.child(new ShareClass.Endpoint(), 1);
    }
    int partnerShare = settings.partnerShares().getOrDefault(request.partner(), 1);
    return root.child(new ShareClass.Partner(request.partner()), partnerShare)
        .child(new ShareClass.Service(request.service()), request.serviceShare())
        .child(new ShareClass.Caller(request.caller()), request.callerWeight());
  }

  /** Returns the newest queued request of a caller's class. */
  static Optional<ScheduledRequest> newest(ShareNode leaf) {
    return leaf.requests().stream()
        .max(Comparator.comparingLong(waiting -> waiting.request.ticket()));
  }
}

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
 * Decides whose request takes a free batch place: partner, then service, then caller.
 *
 * <p>Load pattern: one partner, service or caller sends far more than the others, or much longer
 * requests. In order of arrival whoever sends most gets most, and a well-behaved caller waits
 * behind a backlog that is not its own.
 *
 * <p>On each level the class with the least <em>start tag</em> goes first: the work (tokens) it has
 * started so far, over its weight (start-time fair queueing). Two classes that both have requests
 * to start thus get work in proportion to their weights, to within one request each, whatever the
 * lengths of their requests. The charge is corrected when a request ends, so that a caller who asks
 * for many tokens and uses few is not charged for those it did not use. A class that was idle
 * returns at the level's virtual time: it is owed nothing for the time it did not use, and pays
 * nothing back for what it had borrowed.
 *
 * <p>Example: weights 3 and 1, every request costs 100 tokens. Tags start at 0; after A, B, A, A
 * they are 100 and 100, and so on: three of four places go to A. When B stops, A takes every place;
 * when B comes back its tag is lifted to A's, and from the next free place on it again has one in
 * four.
 *
 * <p><b>Lent places are taken back at once.</b> By tags alone a partner that finds the whole batch
 * lent gets its part of each place that becomes free, so for equal weights half of its places are
 * back after half a batch has ended, and all of them after a whole one. Therefore a class that runs
 * fewer requests than the whole places that belong to it (batch × weight over active weights,
 * rounded down) goes before every class that does not. That is the max-min sharing of slots with
 * redistribution in section 5 of Li Jin, "Locality Aware Fair Scheduling for Hammr", 2012, without
 * its preemption: an interrupted answer would cost more than the place is worth. Whole places alone
 * would not do: with weights 3 and 1 and a batch of 2 the second class owns none and would starve,
 * and a caller among hundreds never owns one. Tags carry the fractions.
 *
 * <p>A class whose requests all wait for loads is passed over and its tag lifted like that of an
 * idle class; otherwise it would collect a claim on the batch while the weight store works, and
 * block everyone when its adapter arrives.
 *
 * <p>Within one caller the order is by arrival plus twice the expected run time. A short request
 * overtakes a long one that came less than twice the difference of their lengths before it, and no
 * other; so a long one waits for a bounded time, in proportion to its own length.
 */
final class FairQueue {

  /** How far a request is moved back, in run times of its own. */
  private static final double SHORT_FIRST_FACTOR = 2;

  private final SchedulerSettings settings;
  private final ShareNode root = new ShareNode(new ShareClass.Endpoint(), Optional.empty(), 1);
  private final Map<Long, Waiting> waiting = new LinkedHashMap<>();
  private final Map<Long, ShareNode> leaves = new HashMap<>();
  private final Map<ServiceName, Integer> byService = new HashMap<>();

  FairQueue(SchedulerSettings settings) {
    this.settings = settings;
  }

  int size() {
    return waiting.size();
  }

  Collection<Waiting> all() {
    return waiting.values();
  }

  Optional<Waiting> find(long ticket) {
    return Optional.ofNullable(waiting.get(ticket));
  }

  /** Adds a request that runs for an expected time. */
  Waiting add(QueuedRequest request, double runMillis) {
    double penalty = settings.uses(Mechanism.SHORT_FIRST) ? SHORT_FIRST_FACTOR * runMillis : 0;
    Waiting added = new Waiting(request, request.arrivedMillis() + penalty);
    ShareNode leaf = leaf(request);
    leaf.add(added);
    waiting.put(request.ticket(), added);
    leaves.put(request.ticket(), leaf);
    byService.merge(request.service(), 1, Integer::sum);
    return added;
  }

  /** Removes a request that will not run. */
  void remove(Waiting request) {
    long ticket = request.request.ticket();
    if (waiting.remove(ticket) != null) {
      countDown(request);
      leaves.remove(ticket).remove(request);
    }
  }

  /** Chooses what starts next; changes nothing but the tags of those passed over. */
  Optional<Waiting> next(Predicate<Waiting> startable) {
    double places = settings.uses(Mechanism.GUARANTEED_PLACES) ? settings.batch() : 0;
    return root.next(startable, places);
  }

  /** Records that a request was started. */
  void started(Waiting request) {
    waiting.remove(request.request.ticket());
    countDown(request);
    leaves.get(request.request.ticket()).start(request, request.request.costTokens());
  }

  /**
   * Records that a started request ended.
   *
   * @param ticket the request
   * @param costCorrection what it took less what it was expected to take, in tokens
   */
  void ended(long ticket, double costCorrection) {
    ShareNode leaf = leaves.remove(ticket);
    if (leaf != null) {
      leaf.end(costCorrection);
    }
  }

  /** Returns how many requests of a service wait. */
  int waitingOf(ServiceName service) {
    return byService.getOrDefault(service, 0);
  }

  ShareNode root() {
    return root;
  }

  /** Returns the class within which a service's bound is shared out. */
  ShareNode serviceNode(QueuedRequest like) {
    return leaf(like).parent.orElse(root);
  }

  /** Returns a request's classes from its partner down to its caller. */
  List<ShareNode> path(QueuedRequest like) {
    LinkedList<ShareNode> path = new LinkedList<>();
    ShareNode node = leaf(like);
    while (node.parent.isPresent()) {
      path.addFirst(node);
      node = node.parent.get();
    }
    return path;
  }

  private void countDown(Waiting request) {
    byService.computeIfPresent(
        request.request.service(), (key, count) -> count == 1 ? null : Integer.valueOf(count - 1));
  }

  private ShareNode leaf(QueuedRequest request) {
    if (!settings.uses(Mechanism.FAIR_SHARES)) {
      return root.child(new ShareClass.Endpoint(), 1);
    }
    int partnerShare = settings.partnerShares().getOrDefault(request.partner(), 1);
    return root.child(new ShareClass.Partner(request.partner()), partnerShare)
        .child(new ShareClass.Service(request.service()), request.serviceShare())
        .child(new ShareClass.Caller(request.caller()), request.callerWeight());
  }

  /** Returns the newest request below a class. */
  static Optional<Waiting> newest(ShareNode leaf) {
    return leaf.requests().stream()
        .max(Comparator.comparingLong(waiting -> waiting.request.ticket()));
  }
}

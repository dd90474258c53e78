package org.hornbeamusher.scheduling;

import java.util.Optional;
import java.util.OptionalLong;
import org.hornbeamusher.failure.FailureType;

/**
 * Decides whether a request may wait.
 *
 * <p>Load pattern: more arrives than can be served. Without a bound the queue grows until nothing
 * in it is answered in time, and every place in the batch is spent on answers that nobody waits
 * for. So the answer is given at the door: a request that, by the estimate, cannot finish before
 * its deadline is refused at once with the time after which it could have, and costs nothing.
 *
 * <p>Both queue bounds, of the service and of the whole endpoint, count requests. When one is
 * reached, refusing the newcomer would let whoever filled the queue keep everyone else out, as the
 * one who sends most also finds most of the places that come free. Instead the class that holds
 * most of the queue over its weight loses its newest request, unless that is the newcomer's own
 * class down to the caller. Its newest, because that one has waited least and its caller learns
 * soonest. Requests that were started are never touched.
 */
final class Admission {

  private static final long LEAST_RETRY_MILLIS = 100;
  private static final long GREATEST_RETRY_MILLIS = 30_000;

  private final SchedulerSettings settings;
  private final FairQueue queue;
  private final WaitEstimate estimate;
  private final WorkEstimate work;
  private final LoadFailures failures;

  Admission(
      SchedulerSettings settings,
      FairQueue queue,
      WaitEstimate estimate,
      WorkEstimate work,
      LoadFailures failures) {
    this.settings = settings;
    this.queue = queue;
    this.estimate = estimate;
    this.work = work;
    this.failures = failures;
  }

  AdmissionDecision decide(QueuedRequest request, long now) {
    if (request.adapter().isPresent() && settings.slots() == 0) {
      return new AdmissionDecision.Refuse(FailureType.LOAD_FAILED, GREATEST_RETRY_MILLIS);
    }
    OptionalLong failing =
        request
            .adapter()
            .map(ref -> failures.refusedForMillis(ref, now))
            .orElse(OptionalLong.empty());
    if (failing.isPresent()) {
      return new AdmissionDecision.Refuse(FailureType.LOAD_FAILED, failing.getAsLong());
    }
    OptionalLong late = lateByMillis(request, now);
    if (late.isPresent()) {
      return new AdmissionDecision.Refuse(
          FailureType.DEADLINE_TOO_NEAR, retryAfter(late.getAsLong()));
    }
    return bounded(request, now);
  }

  /** Returns how late a request would end, or empty when it ends in time. */
  private OptionalLong lateByMillis(QueuedRequest request, long now) {
    if (request.deadlineMillis() <= now) {
      return OptionalLong.of(0);
    }
    if (!settings.uses(Mechanism.EARLY_REFUSAL)) {
      return OptionalLong.empty();
    }
    double end = now + estimate.waitMillis(request, now) + work.runMillis(request.costTokens());
    return end <= request.deadlineMillis()
        ? OptionalLong.empty()
        : OptionalLong.of((long) end - request.deadlineMillis());
  }

  private AdmissionDecision bounded(QueuedRequest request, long now) {
    if (queue.waitingOf(request.service()) >= request.queueLimit()) {
      return displaceBelow(queue.serviceNode(request), request, now);
    }
    if (queue.size() >= settings.queueLimit()) {
      return displaceBelow(queue.root(), request, now);
    }
    return new AdmissionDecision.Admit();
  }

  private AdmissionDecision displaceBelow(ShareNode top, QueuedRequest request, long now) {
    Optional<Waiting> victim =
        settings.uses(Mechanism.DISPLACEMENT) ? victim(top, request) : Optional.empty();
    return victim
        .<AdmissionDecision>map(AdmissionDecision.Displace::new)
        .orElseGet(
            () ->
                new AdmissionDecision.Refuse(
                    FailureType.QUEUE_FULL, retryAfter(estimate.waitMillis(request, now))));
  }

  /** Descends to the first level on which another class holds more than the newcomer's would. */
  private Optional<Waiting> victim(ShareNode top, QueuedRequest request) {
    for (ShareNode own : queue.path(request)) {
      ShareNode above = own.parent.orElseThrow();
      if (above != top && !isBelow(above, top)) {
        continue;
      }
      ShareNode heaviest = above.greatestChild(node -> node.waitingOverWeight(0)).orElseThrow();
      if (own.waitingOverWeight(0) >= heaviest.waitingOverWeight(0)) {
        continue;
      }
      return heaviest.waitingOverWeight(-1) >= own.waitingOverWeight(1)
          ? newestOfHeaviest(heaviest)
          : Optional.empty();
    }
    return Optional.empty();
  }

  private static boolean isBelow(ShareNode node, ShareNode top) {
    Optional<ShareNode> current = node.parent;
    while (current.isPresent()) {
      if (current.get() == top) {
        return true;
      }
      current = current.get().parent;
    }
    return false;
  }

  private static Optional<Waiting> newestOfHeaviest(ShareNode node) {
    ShareNode current = node;
    Optional<ShareNode> child = current.greatestChild(below -> below.waitingOverWeight(0));
    while (child.isPresent()) {
      current = child.get();
      child = current.greatestChild(below -> below.waitingOverWeight(0));
    }
    return FairQueue.newest(current);
  }

  static long retryAfter(double millis) {
    return Math.round(Math.min(GREATEST_RETRY_MILLIS, Math.max(LEAST_RETRY_MILLIS, millis)));
  }
}

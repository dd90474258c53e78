package org.hornbeamusher.scheduling;

import java.util.Optional;
import java.util.OptionalLong;
import org.hornbeamusher.failure.FailureType;

/**
 * Decides whether an arriving request is queued or refused.
 *
 * <p>A request is refused on arrival if, by the estimates of {@link WaitEstimate} and {@link
 * RunTimeEstimate}, it cannot finish before its deadline. The refusal states the time after which
 * it could have. Without this the queue grows under overload until nothing in it is answered in
 * time, and every batch slot is spent on responses that nobody waits for any more.
 *
 * <p>Two queue limits, one for the service and one for the whole endpoint, count requests. When one
 * is reached, refusing the new request would let whoever filled the queue keep everyone else out,
 * because the caller that sends most also gets most of the queue positions that become free.
 * Instead the class with the most queued requests relative to its weight loses its newest request,
 * unless the new request belongs to that same class on every level down to the caller. The newest
 * request is dropped because it has waited least and its caller learns of the refusal soonest.
 * Requests that have been started are never dropped.
 */
final class QueueAdmission {

  private static final long MIN_RETRY_MILLIS = 100;
  private static final long MAX_RETRY_MILLIS = 30_000;

  private final SchedulerSettings settings;
  private final FairQueue queue;
  private final WaitEstimate waitEstimate;
  private final RunTimeEstimate runTimeEstimate;
  private final LoadFailures failures;

  QueueAdmission(
      SchedulerSettings settings,
      FairQueue queue,
      WaitEstimate waitEstimate,
      RunTimeEstimate runTimeEstimate,
      LoadFailures failures) {
    this.settings = settings;
    this.queue = queue;
    this.waitEstimate = waitEstimate;
    this.runTimeEstimate = runTimeEstimate;
    this.failures = failures;
  }

  QueueAdmissionDecision decide(QueuedRequest request, long now) {
    if (request.adapter().isPresent() && settings.slots() == 0) {
      return new QueueAdmissionDecision.Refuse(FailureType.LOAD_FAILED, MAX_RETRY_MILLIS);
    }
    OptionalLong failing =
        request
            .adapter()
            .map(ref -> failures.refusedForMillis(ref, now))
            .orElse(OptionalLong.empty());
    if (failing.isPresent()) {
      return new QueueAdmissionDecision.Refuse(FailureType.LOAD_FAILED, failing.getAsLong());
    }
    OptionalLong late = latenessMillis(request, now);
    if (late.isPresent()) {
      return new QueueAdmissionDecision.Refuse(
          FailureType.DEADLINE_TOO_NEAR, retryAfter(late.getAsLong()));
    }
    return checkQueueLimits(request, now);
  }

  /** Returns by how much a request would miss its deadline, or empty if it would meet it. */
  private OptionalLong latenessMillis(QueuedRequest request, long now) {
    if (request.deadlineMillis() <= now) {
      return OptionalLong.of(0);
    }
    if (!settings.uses(SchedulerFeature.EARLY_REFUSAL)) {
      return OptionalLong.empty();
    }
    double end =
        now
            + waitEstimate.waitMillis(request, now)
            + runTimeEstimate.runMillis(request.costTokens());
    return end <= request.deadlineMillis()
        ? OptionalLong.empty()
        : OptionalLong.of((long) end - request.deadlineMillis());
  }

  private QueueAdmissionDecision checkQueueLimits(QueuedRequest request, long now) {
    if (queue.queuedCount(request.service()) >= request.queueLimit()) {
      return displaceOrRefuse(queue.serviceNode(request), request, now);
    }
    if (queue.size() >= settings.queueLimit()) {
      return displaceOrRefuse(queue.root(), request, now);
    }
    return new QueueAdmissionDecision.Admit();
  }

  private QueueAdmissionDecision displaceOrRefuse(ShareNode top, QueuedRequest request, long now) {
    Optional<ScheduledRequest> victim =
        settings.uses(SchedulerFeature.DISPLACEMENT) ? victim(top, request) : Optional.empty();
    return victim
        .<QueueAdmissionDecision>map(QueueAdmissionDecision.Displace::new)
        .orElseGet(
            () ->
                new QueueAdmissionDecision.Refuse(
                    FailureType.QUEUE_FULL, retryAfter(waitEstimate.waitMillis(request, now))));
  }

  /**
   * Descends to the first level on which another class has more queued requests relative to its
   * weight than the class of the new request would have, and chooses the request to drop there.
   */
  private Optional<ScheduledRequest> victim(ShareNode top, QueuedRequest request) {
    for (ShareNode own : queue.path(request)) {
      ShareNode above = own.parent.orElseThrow();
      if (above != top && !isBelow(above, top)) {
        continue;
      }
      ShareNode heaviest = above.greatestChild(node -> node.queuedPerWeight(0)).orElseThrow();
      if (own.queuedPerWeight(0) >= heaviest.queuedPerWeight(0)) {
        continue;
      }
      return heaviest.queuedPerWeight(-1) >= own.queuedPerWeight(1)
          ? newestOfLargestClass(heaviest)
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

  private static Optional<ScheduledRequest> newestOfLargestClass(ShareNode node) {
    ShareNode current = node;
    Optional<ShareNode> child = current.greatestChild(below -> below.queuedPerWeight(0));
    while (child.isPresent()) {
      current = child.get();
      child = current.greatestChild(below -> below.queuedPerWeight(0));
    }
    return FairQueue.newest(current);
  }

  static long retryAfter(double millis) {
    return Math.round(Math.min(MAX_RETRY_MILLIS, Math.max(MIN_RETRY_MILLIS, millis)));
  }
}

package org.hornbeamusher.admission;

import org.hornbeamusher.failure.FailureType;

/**
 * Admission control of one entry for one pool: decides whether a request is admitted. Not
 * thread-safe.
 *
 * <p><b>Algorithm.</b> The policy counts requests in flight. A request is in flight for as long as
 * it occupies or awaits a batch slot, so one that runs ten times as long uses ten times as much of
 * its caller's share, without any estimate of its length. The fair share of a partner, service or
 * caller is its weight divided by the weights of the active siblings on its level, from the partner
 * down to the caller. The rules, in order:
 *
 * <ol>
 *   <li>A caller that is alone is limited by its deadlines only: its burst takes nothing from
 *       others, and requests that can finish in time are not refused. With the limit applied, a
 *       burst of 30 requests of one caller at 8 batch slots was refused in part although all could
 *       finish within seconds.
 *   <li>Beyond the limit plus the overshoot, only a caller below its fair share is admitted, and
 *       only if that share is at least one request. This bounds what an entry holds, and a burst of
 *       a caller that was alone cannot shut out the next one.
 *   <li>Below the {@linkplain AdmissionSettings#borrowableFraction borrowable fraction} of the
 *       limit every request is admitted: capacity that its owner does not use is lent to others,
 *       also to the other partner.
 *   <li>Above it, a caller below its fair share is admitted. It may exceed the limit, so that lent
 *       capacity is returned as soon as its owner sends requests, without waiting for the
 *       borrower's requests to end.
 *   <li>A caller at or above its fair share is admitted while its partner is below its own: what
 *       one caller leaves unused goes to the other callers of its partner first.
 * </ol>
 *
 * <p>Example: the limit is 48, of which 24 can be borrowed; partners A and B have equal shares of
 * 24 and one caller each. A is alone and has 48 in flight: its share is the whole limit while
 * nobody else is active. B sends one request: B's share is 24 and it has none in flight, so the
 * request is admitted, and the total is 49. A's share is 24 now; its next request is refused until
 * A has fallen below 24, or until fewer than 24 are in flight in total.
 *
 * <p><b>Deadline.</b> A request whose estimated end is after its deadline is refused at once, so
 * that its caller learns of it now and not at the deadline, and may go elsewhere. A caller below
 * its fair share in a full pool is exempt: the estimate counts the whole queue, but the agents
 * serve its request before those of callers above their shares. Without the exemption a flood
 * causes the others to be refused for a wait that they would not have had.
 *
 * <p><b>Load.</b> The policy is made for overload, a hot caller, a partner that floods the other,
 * and long requests among short ones. Without it every request is queued, the queue grows until all
 * requests wait beyond their deadlines, and the endpoints spend their time on responses that nobody
 * reads: at twice the capacity the useful throughput falls towards zero instead of staying at the
 * capacity.
 *
 * <p><b>Rejected alternatives.</b> Counting tokens in flight instead of requests: the limit is then
 * a number of tokens, which is right for one mean length only; with one request in ten ten times as
 * long, a quarter of the batch slots were filled in the policy benchmark at an offered load of 80
 * %. A rate limit per caller that also applies when the pool is idle: it refuses work that could
 * have been done. A queue at the entry: it withholds requests from the endpoint, which alone knows
 * which of them fit together in its batch, and delays refusals.
 */
public final class AdmissionPolicy {

  private static final long MIN_RETRY_AFTER_MILLIS = 250;
  private static final long MAX_RETRY_AFTER_MILLIS = 30_000;
  private static final long REMOVE_IDLE_INTERVAL_MILLIS = 1_000;

  private final AdmissionSettings settings;
  private final ShareNode root = new ShareNode();
  private long inFlightLimit;
  private long nextRemoveIdleMillis;

  /**
   * Creates a policy without requests in flight.
   *
   * @param settings the settings of the pool at this entry
   */
  public AdmissionPolicy(AdmissionSettings settings) {
    this.settings = settings;
    this.inFlightLimit = settings.inFlightLimit();
  }

  /**
   * Changes the limit after a change in the number of endpoints or entries.
   *
   * @param requests number of requests in flight above which shares are enforced
   */
  public void setInFlightLimit(long requests) {
    inFlightLimit = Math.max(1, requests);
  }

  /**
   * Decides on a request.
   *
   * @param request the request
   * @param now milliseconds
   * @return whether it is admitted
   */
  public AdmissionDecision admit(AdmissionRequest request, long now) {
    removeIdle(now);
    ShareNode partner = root.activate(request.partner(), partnerShare(request), now);
    ShareNode service = partner.activate(request.service(), request.serviceShare(), now);
    ShareNode caller = service.activate(request.caller(), request.callerWeight(), now);
    double partnerFairShare =
        root.fairShare(partner, inFlightLimit, now, settings.idleTimeoutMillis());
    double serviceFairShare =
        partner.fairShare(service, partnerFairShare, now, settings.idleTimeoutMillis());
    double callerFairShare =
        service.fairShare(caller, serviceFairShare, now, settings.idleTimeoutMillis());
    boolean enforceShares = settings.enforceShares() && callerFairShare < inFlightLimit;
    boolean entitled = callerFairShare >= 1 && caller.inFlight() < callerFairShare;
    boolean full =
        enforceShares && root.inFlight() >= inFlightLimit * settings.borrowableFraction();
    boolean guaranteed = full && caller.inFlight() < callerFairShare;
    long latenessMillis = now + request.estimatedMillis() - request.deadlineMillis();
    if (settings.enforceDeadlines() && latenessMillis > 0 && !guaranteed) {
      return refuse(FailureType.DEADLINE_TOO_NEAR, latenessMillis);
    }
    if (full && !guaranteed && partner.inFlight() >= partnerFairShare) {
      return refuse(FailureType.RATE_LIMITED, request.estimatedMillis());
    }
    boolean overLimit = root.inFlight() >= inFlightLimit * (1 + settings.overshoot());
    if (enforceShares && !entitled && overLimit) {
      return refuse(FailureType.QUEUE_FULL, request.estimatedMillis());
    }
    root.add(1);
    partner.add(1);
    service.add(1);
    caller.add(1);
    return new AdmissionDecision.Admit();
  }

  /**
   * Records that an admitted request ended, whether it succeeded or not.
   *
   * @param request the request that had been admitted
   * @param answered whether its caller received a complete response
   * @param now milliseconds
   */
  public void finished(AdmissionRequest request, boolean answered, long now) {
    root.add(-1);
    ShareNode partner = root.child(request.partner());
    ShareNode service = partner == null ? null : partner.child(request.service());
    ShareNode caller = service == null ? null : service.child(request.caller());
    if (caller != null) {
      partner.add(-1);
      service.add(-1);
      caller.add(-1);
    }
  }

  /**
   * Returns the number of requests in flight.
   *
   * @return requests admitted and not finished
   */
  public long inFlight() {
    return root.inFlight();
  }

  private int partnerShare(AdmissionRequest request) {
    return settings.partnerShares().getOrDefault(request.partner(), 1);
  }

  private void removeIdle(long now) {
    if (now >= nextRemoveIdleMillis) {
      root.removeIdle(now, settings.idleTimeoutMillis());
      nextRemoveIdleMillis = now + REMOVE_IDLE_INTERVAL_MILLIS;
    }
  }

  private static AdmissionDecision refuse(FailureType type, long retryAfterMillis) {
    long bounded = Math.min(MAX_RETRY_AFTER_MILLIS, retryAfterMillis);
    return new AdmissionDecision.Refuse(type, Math.max(MIN_RETRY_AFTER_MILLIS, bounded));
  }
}

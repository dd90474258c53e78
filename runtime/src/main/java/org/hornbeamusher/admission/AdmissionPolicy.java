package org.hornbeamusher.admission;

import org.hornbeamusher.failure.FailureType;

/**
 * Decides at the door of an entry, for one pool, whether a request is let in. Not safe for use by
 * several threads at once.
 *
 * <p><b>Pattern.</b> Overload, a hot caller, a partner that floods the other, and long jobs among
 * short ones. Without this class every request is queued, the queue grows until all of them wait
 * beyond their deadlines, and the endpoints spend their time on answers that nobody reads: at twice
 * the capacity the useful part falls towards nothing instead of staying at the capacity.
 *
 * <p><b>Deadline.</b> A request whose estimated end lies beyond its deadline is refused before
 * anything else is looked at. Its caller learns it now, not at the deadline, and may go elsewhere.
 *
 * <p><b>Shares.</b> Work in flight is counted in tokens, so that one long job weighs as much as the
 * short ones it displaces. Below {@link AdmissionSettings#inFlightTokens} everyone is let in:
 * capacity that its holder does not use is lent. From there on a request is let in only if its
 * partner, its service and its caller are each below their fair part, which is their weight over
 * the weights of those active. Those below their part may overshoot the limit by a bounded amount,
 * so that a lent part is taken back as soon as its holder asks, without waiting for the borrower's
 * requests to end.
 *
 * <p>Example: the limit is 1,000 tokens, partners A and B have equal shares, A alone is active and
 * holds 1,000. B sends a request of 100: B's part is 500 and it holds nothing, so it is let in, and
 * the total is 1,100. A's next request finds A at 1,000 of 500 and is refused until A has fallen
 * below 500. B goes on to 500; the overshoot never exceeds the parts of those below theirs.
 *
 * <p>Rejected: a rate limit per caller that holds also when the pool is idle refuses work that
 * could have been done. A queue at the entry keeps requests from the endpoint's batch, which alone
 * knows which of them fit together, and holds back refusals.
 */
public final class AdmissionPolicy {

  private static final long SHORTEST_RETRY_AFTER_MILLIS = 250;
  private static final long LONGEST_RETRY_AFTER_MILLIS = 30_000;
  private static final long FORGET_EVERY_MILLIS = 1_000;

  private final AdmissionSettings settings;
  private final ShareNode root = new ShareNode();
  private long inFlightTokens;
  private long nextForgetMillis;

  /**
   * Creates a policy with nothing in flight.
   *
   * @param settings the pool's figures at this entry
   */
  public AdmissionPolicy(AdmissionSettings settings) {
    this.settings = settings;
    this.inFlightTokens = settings.inFlightTokens();
  }

  /**
   * Changes the limit, because endpoints or entries came or went.
   *
   * @param tokens work in flight above which shares are enforced
   */
  public void limit(long tokens) {
    inFlightTokens = Math.max(1, tokens);
  }

  /**
   * Decides about a request.
   *
   * @param request what arrived
   * @param now milliseconds
   * @return whether it is let in
   */
  public AdmissionDecision admit(AdmissionRequest request, long now) {
    forgetIdle(now);
    ShareNode partner = root.touch(request.partner(), partnerShare(request), now);
    ShareNode service = partner.touch(request.service(), request.serviceShare(), now);
    ShareNode caller = service.touch(request.caller(), request.callerWeight(), now);
    long late = now + request.estimatedMillis() - request.deadlineMillis();
    if (settings.deadlines() && late > 0) {
      return refuse(FailureType.DEADLINE_TOO_NEAR, late);
    }
    if (settings.shares() && root.tokens() + request.costTokens() > inFlightTokens) {
      double partnerPart = root.fairPart(partner, inFlightTokens, now, settings.memoryMillis());
      double servicePart = partner.fairPart(service, partnerPart, now, settings.memoryMillis());
      double callerPart = service.fairPart(caller, servicePart, now, settings.memoryMillis());
      if (root.tokens() > inFlightTokens * (1 + settings.overshoot())) {
        return refuse(FailureType.QUEUE_FULL, request.estimatedMillis());
      }
      if (partner.tokens() > partnerPart
          || service.tokens() > servicePart
          || caller.tokens() > callerPart) {
        return refuse(FailureType.RATE_LIMITED, request.estimatedMillis());
      }
    }
    root.add(request.costTokens());
    partner.add(request.costTokens());
    service.add(request.costTokens());
    caller.add(request.costTokens());
    return new AdmissionDecision.Admit();
  }

  /**
   * Records that an admitted request ended, in whatever way.
   *
   * @param request what had been admitted
   * @param answered whether its caller got a whole answer
   * @param now milliseconds
   */
  public void finished(AdmissionRequest request, boolean answered, long now) {
    root.add(-request.costTokens());
    ShareNode partner = root.child(request.partner());
    ShareNode service = partner == null ? null : partner.child(request.service());
    ShareNode caller = service == null ? null : service.child(request.caller());
    if (caller != null) {
      partner.add(-request.costTokens());
      service.add(-request.costTokens());
      caller.add(-request.costTokens());
    }
  }

  /**
   * Returns the work in flight.
   *
   * @return tokens admitted and not finished
   */
  public long tokensInFlight() {
    return root.tokens();
  }

  private int partnerShare(AdmissionRequest request) {
    return settings.partnerShares().getOrDefault(request.partner(), 1);
  }

  private void forgetIdle(long now) {
    if (now >= nextForgetMillis) {
      root.forgetIdle(now, settings.memoryMillis());
      nextForgetMillis = now + FORGET_EVERY_MILLIS;
    }
  }

  private static AdmissionDecision refuse(FailureType type, long retryAfterMillis) {
    long bounded = Math.min(LONGEST_RETRY_AFTER_MILLIS, retryAfterMillis);
    return new AdmissionDecision.Refuse(type, Math.max(SHORTEST_RETRY_AFTER_MILLIS, bounded));
  }
}

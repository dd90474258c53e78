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
 * <p><b>Shares.</b> Requests in flight are counted. A request is in flight for as long as it
 * occupies or awaits a place in a batch, so one that runs ten times as long uses up ten times as
 * much of its caller's part, without any guess at its length. A holder's fair part is its weight
 * over the weights of those active beside it, from the partner down to the caller. The rules, in
 * order:
 *
 * <ol>
 *   <li>A caller that is alone is bounded by the deadline only: its burst takes nothing from
 *       anyone, and what can be answered in time is not refused. With the limit, a burst of 30
 *       requests of one caller at 8 places was refused in part though all could end within seconds.
 *   <li>Beyond the limit and the overshoot nobody is let in but who is below a part of at least one
 *       request. That bounds what an entry holds, and a burst of one caller that was alone cannot
 *       shut out the next.
 *   <li>Below the {@linkplain AdmissionSettings#lentPart lent part} of the limit everyone is let
 *       in: places that their holder does not use are lent, also to the other partner.
 *   <li>Above it, a caller below its part is let in. It may overshoot the limit, so that a lent
 *       part is taken back as soon as its holder asks, without waiting for the borrower to end.
 *   <li>A caller at or above its part is let in while its partner is below its own: what one caller
 *       leaves unused goes to the others of its partner first.
 * </ol>
 *
 * <p>Example: the limit is 48, 24 of it lent, partners A and B have equal shares of 24 and one
 * caller each. A is alone and has 48 in flight: its part is the whole while nobody else is active.
 * B sends one: B's part is 24 and it has none in flight, so it is let in, and the total is 49. A's
 * part is 24 now; its next request is refused until A has fallen below 24, or until fewer than 24
 * are in flight in all.
 *
 * <p><b>Deadline.</b> A request whose estimated end lies beyond its deadline is refused at once.
 * Its caller learns it now, not at the deadline, and may go elsewhere. A caller below its part in a
 * full pool is exempt: the estimate counts the whole queue, but the agents serve it before the
 * queue of those above theirs. Without the exemption a flood has the others refused for a wait that
 * they would not have had.
 *
 * <p>Rejected: counting tokens in flight instead of requests. The limit is then a number of tokens,
 * which is right for one mean length only; with one request in ten ten times as long, the policy
 * benchmark had a quarter of the places filled at an offered load of 80 %. A rate limit per caller
 * that holds also when the pool is idle refuses work that could have been done. A queue at the
 * entry keeps requests from the endpoint's batch, which alone knows which of them fit together, and
 * holds back refusals.
 */
public final class AdmissionPolicy {

  private static final long SHORTEST_RETRY_AFTER_MILLIS = 250;
  private static final long LONGEST_RETRY_AFTER_MILLIS = 30_000;
  private static final long FORGET_EVERY_MILLIS = 1_000;

  private final AdmissionSettings settings;
  private final ShareNode root = new ShareNode();
  private long inFlightLimit;
  private long nextForgetMillis;

  /**
   * Creates a policy with nothing in flight.
   *
   * @param settings the pool's figures at this entry
   */
  public AdmissionPolicy(AdmissionSettings settings) {
    this.settings = settings;
    this.inFlightLimit = settings.inFlightLimit();
  }

  /**
   * Changes the limit, because endpoints or entries came or went.
   *
   * @param requests in flight above which shares are enforced
   */
  public void limit(long requests) {
    inFlightLimit = Math.max(1, requests);
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
    double partnerPart = root.fairPart(partner, inFlightLimit, now, settings.memoryMillis());
    double servicePart = partner.fairPart(service, partnerPart, now, settings.memoryMillis());
    double callerPart = service.fairPart(caller, servicePart, now, settings.memoryMillis());
    boolean shares = settings.shares() && callerPart < inFlightLimit;
    boolean entitled = callerPart >= 1 && caller.inFlight() < callerPart;
    boolean full = shares && root.inFlight() >= inFlightLimit * settings.lentPart();
    boolean guaranteed = full && caller.inFlight() < callerPart;
    long late = now + request.estimatedMillis() - request.deadlineMillis();
    if (settings.deadlines() && late > 0 && !guaranteed) {
      return refuse(FailureType.DEADLINE_TOO_NEAR, late);
    }
    if (full && !guaranteed && partner.inFlight() >= partnerPart) {
      return refuse(FailureType.RATE_LIMITED, request.estimatedMillis());
    }
    boolean beyond = root.inFlight() >= inFlightLimit * (1 + settings.overshoot());
    if (shares && !entitled && beyond) {
      return refuse(FailureType.QUEUE_FULL, request.estimatedMillis());
    }
    root.add(1);
    partner.add(1);
    service.add(1);
    caller.add(1);
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
   * Returns what is in flight.
   *
   * @return requests admitted and not finished
   */
  public long inFlight() {
    return root.inFlight();
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

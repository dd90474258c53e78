package org.hornbeamusher.scheduling;

import java.util.Optional;
import org.hornbeamusher.ids.PartnerId;

/**
 * Requests load permits for the weight store and keeps the one that was granted.
 *
 * <p>A request may be lost with its connection, and a permit may be granted when no load is wanted
 * any more. So a request is repeated every {@value #REPEAT_MILLIS} ms, and as soon as the demand
 * has doubled or halved; and an unused permit is returned by a request with demand 0, since it
 * would otherwise keep the store idle until it expires.
 */
final class LoadPermit {

  private static final long REPEAT_MILLIS = 1_000;
  private static final double DEMAND_CHANGE_FACTOR = 2;
  private static final long NEVER = Long.MIN_VALUE;

  private final boolean required;
  private boolean held;
  private long requestedMillis = NEVER;
  private double requestedDemand;

  /** The partner of the last request; set whenever a permit is held or requested. */
  private PartnerId requestedFor;

  LoadPermit(SchedulerSettings settings) {
    this.required = settings.permitsRequired();
  }

  boolean mayLoad() {
    return !required || held;
  }

  /** Accepts a granted permit; one that is not, or no longer, requested is ignored. */
  void granted() {
    held = requestedMillis != NEVER;
  }

  /** Consumes the permit and clears the request. */
  void consume() {
    held = false;
    requestedMillis = NEVER;
  }

  /** Returns the permit request to send, if one is due, when a load is wanted and none is held. */
  Optional<AgentAction> request(PartnerId partner, double demand, long now) {
    boolean due =
        requestedMillis == NEVER
            || !partner.equals(requestedFor)
            || now - requestedMillis >= REPEAT_MILLIS
            || now < requestedMillis
            || demand >= requestedDemand * DEMAND_CHANGE_FACTOR
            || demand * DEMAND_CHANGE_FACTOR <= requestedDemand;
    if (!due) {
      return Optional.empty();
    }
    requestedMillis = now;
    requestedDemand = demand;
    requestedFor = partner;
    return Optional.of(new AgentAction.RequestPermit(partner, demand));
  }

  /** Returns the withdrawal to send, if needed, when no load is wanted. */
  Optional<AgentAction> withdraw() {
    if (!held && requestedMillis == NEVER) {
      return Optional.empty();
    }
    consume();
    return Optional.of(new AgentAction.RequestPermit(requestedFor, 0));
  }
}

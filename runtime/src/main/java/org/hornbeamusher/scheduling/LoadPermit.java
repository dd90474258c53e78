package org.hornbeamusher.scheduling;

import java.util.Optional;
import org.hornbeamusher.ids.PartnerId;

/**
 * Asks for turns at the weight store and keeps the one that was granted.
 *
 * <p>An ask may be lost with its connection and a grant may come when nothing is wanted any more.
 * So an ask is repeated every {@value #REPEAT_MILLIS} ms, and as soon as the demand has doubled or
 * halved; and a grant that finds no use is given back by an ask for demand 0, or it would hold the
 * store idle until it expires.
 */
final class LoadPermit {

  private static final long REPEAT_MILLIS = 1_000;
  private static final double CHANGE_WORTH_TELLING = 2;
  private static final long NEVER = Long.MIN_VALUE;

  private final boolean needed;
  private boolean held;
  private long askedAt = NEVER;
  private double askedDemand;

  /** Set whenever a turn is held or asked for. */
  private PartnerId askedFor;

  LoadPermit(SchedulerSettings settings) {
    this.needed = settings.permits();
  }

  boolean mayLoad() {
    return !needed || held;
  }

  /** Takes a turn; one that was not asked for, or no longer is, counts for nothing. */
  void granted() {
    held = askedAt != NEVER;
  }

  /** Uses the turn up. */
  void used() {
    held = false;
    askedAt = NEVER;
  }

  /** Returns what is to be said to the permit holder when a load is wanted and no turn is held. */
  Optional<AgentAction> ask(PartnerId partner, double demand, long now) {
    boolean due =
        askedAt == NEVER
            || !partner.equals(askedFor)
            || now - askedAt >= REPEAT_MILLIS
            || now < askedAt
            || demand >= askedDemand * CHANGE_WORTH_TELLING
            || demand * CHANGE_WORTH_TELLING <= askedDemand;
    if (!due) {
      return Optional.empty();
    }
    askedAt = now;
    askedDemand = demand;
    askedFor = partner;
    return Optional.of(new AgentAction.AskPermit(partner, demand));
  }

  /** Returns what is to be said when no load is wanted. */
  Optional<AgentAction> withdraw() {
    if (!held && askedAt == NEVER) {
      return Optional.empty();
    }
    used();
    return Optional.of(new AgentAction.AskPermit(askedFor, 0));
  }
}

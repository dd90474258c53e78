package org.hornbeamusher.pacing;

import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import org.hornbeamusher.ids.PartnerId;

/**
 * Weighted fair sharing between partners of load permits that are granted one at a time. Also used
 * for the loads of one endpoint, each of which counts as a permit.
 *
 * <p>Each permit is charged to its partner at 1 divided by the partner's share, and of the partners
 * that want a permit, the one charged least is entitled to the next (any of them if they are
 * equal). While two partners both want permits, neither gets more than its share plus one permit,
 * over any period. Granting by demand alone would give all permits to the partner that states the
 * greater demand.
 *
 * <p>A partner that did not want permits for a time returns with the lowest charge of those that
 * did: it gets no credit for the permits that it did not use.
 *
 * <p>Example: equal shares, A floods, B wants one permit: B gets the next permit or the one after.
 * With shares 3 and 1, a permit of B costs three times as much as one of A.
 *
 * <p>Rejected alternative: letting a partner run some permits ahead so that urgent loads come
 * first. With twelve agents that each wait six seconds between their own permits, a lead of two
 * permits at an agent would delay the other partner by twelve seconds, as long as its deadlines.
 */
public final class PartnerFairShares {

  private static final double ROUNDING_TOLERANCE = 1e-9;

  private final Map<PartnerId, Integer> shares;
  private final Map<PartnerId, Double> tags = new HashMap<>();

  /** Lowest tag of the waiting partners when a permit was charged; never decreases. */
  private double virtualTag;

  /**
   * Creates an instance without charges.
   *
   * @param shares weight of each partner's guaranteed share; 1 for a partner not listed
   */
  public PartnerFairShares(Map<PartnerId, Integer> shares) {
    this.shares = Map.copyOf(shares);
  }

  /**
   * Returns the partners that are entitled to the next permit.
   *
   * @param waiting the partners that want a permit
   * @return those of them that are entitled; empty only if no partner wants one
   */
  public Set<PartnerId> entitled(Collection<PartnerId> waiting) {
    double lowestTag = waiting.stream().mapToDouble(this::tag).min().orElse(0);
    Set<PartnerId> entitled = new HashSet<>();
    for (PartnerId partner : waiting) {
      if (tag(partner) <= lowestTag + ROUNDING_TOLERANCE) {
        entitled.add(partner);
      }
    }
    return entitled;
  }

  /**
   * Charges a permit.
   *
   * @param partner the partner that gets it
   * @param waiting the partners that want a permit, including that partner
   */
  public void charge(PartnerId partner, Collection<PartnerId> waiting) {
    virtualTag =
        Math.max(virtualTag, waiting.stream().mapToDouble(this::tag).min().orElse(virtualTag));
    tags.put(partner, tag(partner) + 1.0 / share(partner));
  }

  private double tag(PartnerId partner) {
    return Math.max(virtualTag, tags.getOrDefault(partner, 0.0));
  }

  private int share(PartnerId partner) {
    return Math.max(1, shares.getOrDefault(partner, 1));
  }
}

package org.hornbeamusher.pacing;

import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import org.hornbeamusher.ids.PartnerId;

/**
 * Holds each partner to its guaranteed share of turns that are handed out one at a time.
 *
 * <p>Whoever orders turns by demand alone lets the partner that states the greater demand have them
 * all. Here every turn is charged to its partner at 1 over its share, and of the partners that wait
 * the one charged least is entitled to the next (any of them when they are level). Over any time in
 * which both wait neither gets more than its share and one turn.
 *
 * <p>A partner that waited for nothing returns level with the least of those that did: what it left
 * unused was lent for good.
 *
 * <p>Example: equal shares, A floods, B wants one turn: it is B's next turn, or the one after. With
 * shares 3 and 1, B's turn costs three times A's.
 *
 * <p>Rejected: letting a partner run some turns ahead so that urgent work comes first. With twelve
 * agents that each wait six seconds between their own turns, a lead of two turns at an agent would
 * be twelve seconds to the other partner, as long as its deadlines.
 */
public final class PartnerTurns {

  private static final double ROUNDING = 1e-9;

  private final Map<PartnerId, Integer> shares;
  private final Map<PartnerId, Double> tags = new HashMap<>();

  /** The least tag of a partner that waited when a turn was charged; never falls. */
  private double virtualTag;

  /**
   * Creates turns of which none was taken.
   *
   * @param shares each partner's guaranteed part; 1 for those not named
   */
  public PartnerTurns(Map<PartnerId, Integer> shares) {
    this.shares = Map.copyOf(shares);
  }

  /**
   * Returns who may take the next turn.
   *
   * @param waiting the partners that want one
   * @return those of them that are entitled; empty only if none wants one
   */
  public Set<PartnerId> entitled(Collection<PartnerId> waiting) {
    double least = waiting.stream().mapToDouble(this::tag).min().orElse(0);
    Set<PartnerId> entitled = new HashSet<>();
    for (PartnerId partner : waiting) {
      if (tag(partner) <= least + ROUNDING) {
        entitled.add(partner);
      }
    }
    return entitled;
  }

  /**
   * Charges a turn.
   *
   * @param partner who takes it
   * @param waiting the partners that want one, the taker among them
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

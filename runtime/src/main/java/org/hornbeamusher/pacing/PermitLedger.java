package org.hornbeamusher.pacing;

import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.hornbeamusher.ids.EndpointId;
import org.hornbeamusher.ids.PartnerId;

/**
 * Hands out the turns at one weight store. Kept by the agent that holds the store's permits; not
 * safe for use by several threads at once.
 *
 * <p>Load pattern: a shift in popularity or a restart of every engine makes all agents of both
 * partners want loads in the same second, and the store gives about two a second, one at a time at
 * full speed. Unpaced, loads run side by side and each takes as many times longer as there are:
 * with twelve agents the first adapter is there after six seconds instead of half a second, and the
 * most wanted one comes no sooner than the rest.
 *
 * <p>A turn is given when fewer than {@link PermitSettings#atOnce} are out and the last one began
 * at least {@link PermitSettings#gapMillis} ago. It goes, among the partners that {@link
 * PartnerTurns} finds entitled, to the agent with the greatest demand, raised by waiting: {@code
 * demand × (1 + waited / }{@value #AGEING_MILLIS}{@code ms)}. An agent with little demand is thus
 * passed over for a bounded time. Agents state the demand of the one adapter they would load, and
 * state it again when it has doubled or halved.
 *
 * <p>The ledger is soft state. When its agent is replaced, the next one starts with no turns out
 * and is told the demand within a second, as agents repeat their asks. Until then, or while two
 * agents each believe they hold the permits, a few loads overlap; that costs speed only, which is
 * why no lease guards it and why it works while the table is down. A turn whose agent crashed ends
 * by itself; one whose agent is known to be gone ends at once ({@link #lost}).
 *
 * <p>How fast it reacts: a new demand is met by the next turn, half a second at most when entitled.
 * It cannot swing, as it remembers nothing but the partners' charges and the asks.
 *
 * <p>Rejected: a static share of the rate for each agent, which leaves the store idle whenever
 * fewer than all want loads (that is {@link LocalPacer}, kept for when the holder is out of reach);
 * a row in the table, which costs two writes a load and stops all loads when the table is down.
 */
public final class PermitLedger {

  private static final double AGEING_MILLIS = 5_000;

  /** Longest time in which an ask and a turn may pass each other on a connection. */
  private static final long CROSSING = 300;

  private final PermitSettings settings;
  private final PartnerTurns turns;
  private final Map<EndpointId, Ask> asks = new HashMap<>();
  private final Map<EndpointId, PermitDecision.Grant> out = new HashMap<>();
  private long lastBeganMillis = Long.MIN_VALUE;
  private long nextGrant = 1;

  private record Ask(PartnerId partner, double demand, long firstMillis, long lastMillis) {

    double weight(long now) {
      return demand * (1 + Math.max(0, now - firstMillis) / AGEING_MILLIS);
    }
  }

  /**
   * Creates a ledger with no turns out.
   *
   * @param settings the store's figures
   */
  public PermitLedger(PermitSettings settings) {
    this.settings = settings;
    this.turns = new PartnerTurns(settings.partnerShares());
  }

  /**
   * Takes in an agent's demand. An agent asks only when it has no turn. So one that is still out is
   * over or was lost on its way, unless it was given so recently that ask and turn have crossed;
   * were such an ask kept, the agent would be given a second turn that it does not use, and the
   * store would stand idle until that expires.
   *
   * @param agent who asks
   * @param partner whose requests wait for the load
   * @param demand weighted waiting demand; 0 or less withdraws the ask and gives back a turn
   * @param now milliseconds
   */
  public void ask(EndpointId agent, PartnerId partner, double demand, long now) {
    if (!(demand > 0)) {
      lost(agent);
      return;
    }
    PermitDecision.Grant current = out.get(agent);
    if (current != null && now < current.expiresMillis() - settings.expiryMillis() + CROSSING) {
      return;
    }
    out.remove(agent);
    Ask before = asks.get(agent);
    long since = before == null ? now : before.firstMillis;
    asks.put(agent, new Ask(partner, demand, since, now));
  }

  /**
   * Ends a turn.
   *
   * @param agent whose
   * @param grant which; an older one is ignored
   */
  public void done(EndpointId agent, long grant) {
    PermitDecision.Grant current = out.get(agent);
    if (current != null && current.grant() == grant) {
      out.remove(agent);
    }
  }

  /**
   * Forgets an agent that is gone, with its ask and its turn.
   *
   * @param agent which one
   */
  public void lost(EndpointId agent) {
    asks.remove(agent);
    out.remove(agent);
  }

  /**
   * Decides whether an agent gets a turn now. Called again until it holds.
   *
   * @param now milliseconds
   * @return a turn, or how long to hold
   */
  public PermitDecision poll(long now) {
    out.values().removeIf(grant -> grant.expiresMillis() <= now);
    asks.values().removeIf(ask -> ask.lastMillis + settings.askMillis() <= now);
    if (asks.isEmpty()) {
      return new PermitDecision.Hold(Long.MAX_VALUE);
    }
    if (out.size() >= settings.atOnce()) {
      return new PermitDecision.Hold(firstExpiry());
    }
    long free = nextBeginning(now);
    if (now < free) {
      return new PermitDecision.Hold(free);
    }
    return grant(chosen(now).orElseThrow(), now);
  }

  private PermitDecision grant(EndpointId agent, long now) {
    turns.charge(asks.get(agent).partner, waitingPartners());
    asks.remove(agent);
    lastBeganMillis = now;
    PermitDecision.Grant grant =
        new PermitDecision.Grant(agent, nextGrant++, now + settings.expiryMillis());
    out.put(agent, grant);
    return grant;
  }

  private Optional<EndpointId> chosen(long now) {
    var entitled = turns.entitled(waitingPartners());
    return asks.entrySet().stream()
        .filter(entry -> entitled.contains(entry.getValue().partner))
        .max(
            Comparator.<Map.Entry<EndpointId, Ask>>comparingDouble(
                    entry -> entry.getValue().weight(now))
                .thenComparing(Map.Entry::getKey, Comparator.reverseOrder()))
        .map(Map.Entry::getKey);
  }

  private List<PartnerId> waitingPartners() {
    return asks.values().stream().map(Ask::partner).distinct().toList();
  }

  private long firstExpiry() {
    return out.values().stream()
        .mapToLong(PermitDecision.Grant::expiresMillis)
        .min()
        .orElse(Long.MAX_VALUE);
  }

  /** A clock that stepped back would hold every turn until it has caught up; one gap is enough. */
  private long nextBeginning(long now) {
    if (lastBeganMillis == Long.MIN_VALUE) {
      return now;
    }
    return Math.min(lastBeganMillis + settings.gapMillis(), now + settings.gapMillis());
  }
}

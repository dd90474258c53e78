package org.hornbeamusher.placement;

import java.util.Arrays;
import java.util.Collection;
import java.util.HashMap;
import java.util.Map;
import java.util.Set;
import org.hornbeamusher.directory.AdapterVersion;
import org.hornbeamusher.holdings.LoadCosts;
import org.hornbeamusher.ids.EndpointId;
import org.hornbeamusher.ids.EndpointIncarnation;
import org.hornbeamusher.routing.RendezvousHash;

/**
 * Places each request at the endpoint with the lowest cost, which is mainly the expected time to
 * the first event.
 *
 * <p>The cost is computed in milliseconds for every endpoint of the service:
 *
 * <pre>
 *   time to process the pending prompts and this one, without its cached part
 *   + time to load the adapter, if it is not in memory
 *   + wait for a request slot, if all are taken
 *   + penalties: each running request, another availability zone, recent failures, a recent start
 *   + a fraction of this prompt's processing time for each running request, which it delays
 *   + a step for each position down the adapter's preference order, if it is not in memory
 * </pre>
 *
 * <p>Example: an adapter is in memory at A, where 9,000 prompt tokens are pending (205 ms). B is
 * idle and could load the adapter from the weight store (250 ms, plus 150 for the price of the
 * fetch). The request goes to A. At 18,000 pending tokens it goes to B, which from then on has the
 * adapter as well: a hot adapter is replicated when its queue costs more than a load, and its
 * unused replicas are evicted.
 *
 * <p>An endpoint whose rate limit is used up is chosen only if the rate limits of all others are
 * used up, too: its queue does not show when it will accept the next request.
 *
 * <p>An endpoint that has asked this entry to back off is not chosen until that time has passed.
 *
 * <p>The preference order comes from rendezvous hashing, so that entries send a cold adapter to the
 * same endpoint without coordination and it is loaded once.
 *
 * <p>Rejected alternatives: the least loaded endpoint (two thirds of the requests then wait for a
 * load); rendezvous hashing alone (at the endpoint of a hot adapter fourteen requests queue while
 * five endpoints have capacity).
 */
public final class Placer {

  private static final double BYTES_PER_KILOBYTE = 1_024;

  private final PlacementSettings settings;
  private final String zone;
  private final Map<EndpointId, EndpointView> views = new HashMap<>();

  /**
   * Creates a placer without endpoints.
   *
   * @param settings the parameters of the cost function
   * @param zone this entry's availability zone
   */
  public Placer(PlacementSettings settings, String zone) {
    this.settings = settings;
    this.zone = zone;
  }

  /**
   * Returns the endpoints.
   *
   * @return the views by id; this is the placer's own mutable map
   */
  public Map<EndpointId, EndpointView> views() {
    return views;
  }

  /**
   * Counts the endpoints that have stated a rate limit.
   *
   * @return the number of endpoints with a limit
   */
  public long limitedEndpoints() {
    return views.values().stream()
        .filter(view -> view.limit().requestsPerSecond().isPresent())
        .count();
  }

  /**
   * Counts the endpoints that have asked this entry to back off.
   *
   * @param now milliseconds
   * @return the number of endpoints whose back-off time has not passed
   */
  public long backoffEndpoints(long now) {
    return views.values().stream()
        .filter(view -> view.availability().backoffMillis(now) > 0)
        .count();
  }

  /**
   * Counts the endpoints whose responses say that they are leaving.
   *
   * @return the number of known endpoints that leave
   */
  public long leavingEndpoints() {
    return views.values().stream().filter(view -> view.availability().leaving()).count();
  }

  /**
   * Places a request.
   *
   * @param service the service it goes to
   * @param request the request
   * @param tried incarnations of endpoints that must not be tried again
   * @param now milliseconds
   * @return the chosen endpoint, or why there is none
   */
  public Placement place(
      String service, PlacementRequest request, Set<EndpointIncarnation> tried, long now) {
    Collection<EndpointView> all = views.values();
    EndpointView best = null;
    Cost bestCost = null;
    boolean skipped = false;
    boolean accepting = false;
    long minBackoff = Long.MAX_VALUE;
    PreferenceOrder preference = request.adapter().map(a -> preference(service, a)).orElse(null);
    for (EndpointView view : all) {
      if (!view.endpoint().service().equals(service) || !view.usable()) {
        continue;
      }
      long backoff = view.availability().backoffMillis(now);
      if (backoff > 0) {
        minBackoff = Math.min(minBackoff, backoff);
        continue;
      }
      accepting = true;
      if (!tried.isEmpty() && tried.contains(view.incarnation())) {
        skipped = true;
        continue;
      }
      Cost cost = cost(view, request, preference, now);
      if (best == null || cost.lessThan(bestCost)) {
        best = view;
        bestCost = cost;
      }
    }
    if (!accepting && minBackoff < Long.MAX_VALUE) {
      return new Placement.Unplaceable(Placement.Reason.ALL_BACK_OFF, minBackoff);
    }
    if (best == null) {
      return new Placement.Unplaceable(
          skipped ? Placement.Reason.ALL_TRIED : Placement.Reason.NO_ENDPOINT);
    }
    return new Placement.Assigned(
        best,
        bestCost.present(),
        Math.round(bestCost.latency()),
        Math.round(bestCost.stall()),
        canLoad(best, request, now),
        bestCost.rateWait());
  }

  /**
   * Requires the base model, not only a free slot: right after a restart of all engines none has
   * its base model in memory and all have free slots. A request that left its queue for one of them
   * would start to wait again, at one engine after the other.
   */
  private static boolean canLoad(EndpointView view, PlacementRequest request, long now) {
    boolean modelResident =
        request.adapter().map(adapter -> view.hasModel(adapter.key().model())).orElse(true);
    return modelResident && view.freeAdapterSlots(now) > 0;
  }

  private Cost cost(
      EndpointView view, PlacementRequest request, PreferenceOrder preference, long now) {
    return costWithoutRateLimit(view, request, preference, now)
        .withRateWait(view.limit().waitMillis(now));
  }

  private Cost costWithoutRateLimit(
      EndpointView view, PlacementRequest request, PreferenceOrder preference, long now) {
    double penalty = view.health().penaltyMillis(now);
    penalty += view.isCold(now) ? settings.coldStartMillis() : 0;
    penalty += view.endpoint().zone().equals(zone) ? 0 : crossZonePenalty(request);
    if (request.adapter().isEmpty()) {
      return plainCost(view, request, penalty);
    }
    AdapterVersion adapter = request.adapter().get();
    int uncachedTokens = view.uncachedTokens(request);
    double promptTime =
        (view.pendingPromptTokens() + uncachedTokens)
            / settings.promptTokensPerMilli()
            * view.health().slowdown();
    double latency = promptTime + view.running() * settings.runningRequestMillis() + slotWait(view);
    penalty += delayCost(view, uncachedTokens);
    if (view.isResident(adapter)) {
      return new Cost(latency, penalty, 0, true);
    }
    double stall = stall(view, adapter, now);
    double loadPenalty = penalty + preference.position(view) * settings.preferenceStepMillis();
    if (!view.isLoading(adapter) && !view.hasCopy(adapter)) {
      loadPenalty += settings.fetchPriceMillis();
    }
    return new Cost(latency + stall, loadPenalty, stall, false);
  }

  /**
   * Returns the wait for a request slot. An engine runs as many requests at once as it has slots;
   * further ones wait for a run to end. The slots at a hot adapter's engine may all be taken while
   * other engines have free ones: without this term, after a restart of all engines the callers of
   * one adapter in five waited for two seconds, although loading the adapter at a second engine
   * would have taken less.
   */
  private static double slotWait(EndpointView view) {
    int slots = Math.max(1, view.endpoint().slots());
    int waiting = Math.max(0, view.running() + 1 - slots);
    return waiting * view.health().runMillis() / slots;
  }

  /**
   * Returns the cost of delaying the running requests. Prompts are processed between their decoding
   * steps. A delayed run occupies its adapter slot for longer, and adapter slots are the scarce
   * resource under full load.
   */
  private double delayCost(EndpointView view, int uncachedTokens) {
    double promptTime = uncachedTokens / settings.promptTokensPerMilli();
    return promptTime * view.running() * settings.delayFraction();
  }

  /**
   * Records the time to a first event, so that later placements use the engine's measured speed.
   *
   * @param view the engine
   * @param tokens prompt tokens pending there when the request was sent, including its own
   * @param takenMillis from sending the request until the event
   */
  public void recordFirstEventTime(EndpointView view, long tokens, long takenMillis) {
    view.recordFirstEventTime(tokens, settings.promptTokensPerMilli(), takenMillis);
  }

  /**
   * Estimates the first event of a request if it got capacity at an endpoint now.
   *
   * @param view the endpoint
   * @param request the request
   * @return milliseconds, including the load of its adapter, without waiting for a slot
   */
  public long loadNowMillis(EndpointView view, PlacementRequest request) {
    if (request.adapter().isEmpty()) {
      return Math.round(view.health().latencyMillis());
    }
    AdapterVersion adapter = request.adapter().get();
    LoadCosts costs = view.costs();
    double load =
        view.isResident(adapter)
            ? 0
            : view.hasCopy(adapter) ? costs.cachedLoadMillis() : costs.storeLoadMillis();
    double prompt =
        view.uncachedTokens(request) / settings.promptTokensPerMilli() * view.health().slowdown();
    return Math.round(load + prompt);
  }

  private double crossZonePenalty(PlacementRequest request) {
    return settings.crossZoneMillis()
        + settings.crossZoneMillisPerKilobyte() * request.bytes() / BYTES_PER_KILOBYTE;
  }

  private Cost plainCost(EndpointView view, PlacementRequest request, double penalty) {
    double each = Math.max(1, view.health().latencyMillis());
    double rounds = (double) (view.running() + 1) / Math.max(1, view.endpoint().slots());
    double latency = each + each * rounds;
    double spread = Long.remainderUnsigned(RendezvousHash.weight(request.hash(), view.hash()), 3);
    return new Cost(latency, penalty + spread, 0, true);
  }

  private double stall(EndpointView view, AdapterVersion adapter, long now) {
    if (!view.agentConnected() || !view.hasModel(adapter.key().model())) {
      return settings.notLoadableMillis();
    }
    if (adapter.key().isBase()) {
      return 0;
    }
    if (view.isLoading(adapter)) {
      return settings.remainingLoadMillis();
    }
    LoadCosts costs = view.costs();
    double load = view.hasCopy(adapter) ? costs.cachedLoadMillis() : costs.storeLoadMillis();
    int queue = Math.max(0, 1 - view.freeAdapterSlots(now));
    return load + settings.evictionMillis() + (double) queue * costs.slotWaitMillis();
  }

  private PreferenceOrder preference(String service, AdapterVersion adapter) {
    long[] hashes = new long[views.size()];
    int count = 0;
    for (EndpointView view : views.values()) {
      if (view.endpoint().service().equals(service)) {
        hashes[count++] = view.hash();
      }
    }
    return new PreferenceOrder(adapter.key(), Arrays.copyOf(hashes, count));
  }

  /**
   * The cost of sending a request to an endpoint.
   *
   * @param latency expected milliseconds until its first event
   * @param penalty penalties in milliseconds that count only in the comparison of endpoints
   * @param stall the part of the latency that is spent loading the adapter
   * @param present whether the request can start without a load
   * @param rateWait the part of the latency that is spent waiting for a permit to send it
   */
  private record Cost(
      double latency, double penalty, double stall, boolean present, long rateWait) {

    Cost(double latency, double penalty, double stall, boolean present) {
      this(latency, penalty, stall, present, 0);
    }

    Cost withRateWait(long wait) {
      return wait == 0 ? this : new Cost(latency + wait, penalty, stall, present, wait);
    }

    /** Orders by total cost, endpoints that need no wait for a permit first. */
    boolean lessThan(Cost other) {
      if (permitted() != other.permitted()) {
        return permitted();
      }
      return total() < other.total();
    }

    private boolean permitted() {
      return rateWait == 0;
    }

    double total() {
      return latency + penalty;
    }
  }
}

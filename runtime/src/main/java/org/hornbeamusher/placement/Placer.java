package org.hornbeamusher.placement;

import java.util.Arrays;
import java.util.Collection;
import java.util.HashMap;
import java.util.Map;
import java.util.Set;
import org.hornbeamusher.directory.HeldAdapter;
import org.hornbeamusher.holdings.LoadCosts;
import org.hornbeamusher.ids.EndpointId;
import org.hornbeamusher.ids.EndpointLife;
import org.hornbeamusher.routing.Rendezvous;

/**
 * Places each request where its first event is expected soonest.
 *
 * <p>One figure in milliseconds is reckoned for every endpoint of the service:
 *
 * <pre>
 *   prompts waiting to be read there + this prompt, less what is cached
 *   + load of the adapter, when it is not there
 *   + wait for a slot, when all are taken
 *   + a little for each request that runs there, for another zone, for lately failed requests,
 *     for a recent start
 *   + a share of the time in which this prompt is read, for each request that it holds up
 *   + a step for each place down the adapter's preference order, when it is not there
 * </pre>
 *
 * <p>Example: an adapter is held by A, where 9,000 tokens of prompts wait (205 ms). B is idle and
 * could load the adapter from the weight store (250 ms, and 150 for its price). The request goes to
 * A. At 18,000 waiting tokens it goes to B, which is a second home from then on: a hot adapter gets
 * more homes as its queue grows past the cost of a load, and loses them when they are evicted for
 * want of use.
 *
 * <p>An endpoint that limits the rate of its requests, and has had as many as it takes, is chosen
 * only when all others have, too: it asks for relief, and its queue does not show when it takes the
 * next request.
 *
 * <p>An endpoint that wants no requests of this entry for a while is not chosen before that time
 * has passed.
 *
 * <p>The preference order is that of rendezvous hashing, so that entries which do not talk to each
 * other send a cold adapter to the same endpoint and it is loaded once.
 *
 * <p>Rejected: the least loaded endpoint (two thirds of the requests then wait for a load);
 * rendezvous alone (a hot adapter's home queues behind fourteen others while five endpoints have
 * room).
 */
public final class Placer {

  private static final double BYTES_PER_KILOBYTE = 1_024;

  private final PlacementSettings settings;
  private final String zone;
  private final Map<EndpointId, EndpointView> views = new HashMap<>();

  /**
   * Creates a placer that knows no endpoint.
   *
   * @param settings the figures
   * @param zone this entry's availability zone
   */
  public Placer(PlacementSettings settings, String zone) {
    this.settings = settings;
    this.zone = zone;
  }

  /**
   * Returns the endpoints.
   *
   * @return the views by id; changes go through to the placer
   */
  public Map<EndpointId, EndpointView> views() {
    return views;
  }

  /**
   * Counts the endpoints that limit the rate of their requests.
   *
   * @return how many state a limit
   */
  public long limitedEndpoints() {
    return views.values().stream()
        .filter(view -> view.limit().requestsPerSecond().isPresent())
        .count();
  }

  /**
   * Counts the endpoints that want no requests of this entry for a while.
   *
   * @param now milliseconds
   * @return how many have asked for a pause that has not ended
   */
  public long backoffEndpoints(long now) {
    return views.values().stream()
        .filter(view -> view.availability().backoffMillis(now) > 0)
        .count();
  }

  /**
   * Counts the endpoints whose answers say that they are leaving.
   *
   * @return how many are known
   */
  public long leavingEndpoints() {
    return views.values().stream().filter(view -> view.availability().leaving()).count();
  }

  /**
   * Places a request.
   *
   * @param service the service it goes to
   * @param request what it is
   * @param tried lives of endpoints that are not to be tried again
   * @param now milliseconds
   * @return where it goes
   */
  public Placement place(
      String service, PlacementRequest request, Set<EndpointLife> tried, long now) {
    Collection<EndpointView> all = views.values();
    EndpointView best = null;
    Cost bestCost = null;
    boolean skipped = false;
    boolean takes = false;
    long leastBackoff = Long.MAX_VALUE;
    Preference preference = request.adapter().map(a -> preference(service, a)).orElse(null);
    for (EndpointView view : all) {
      if (!view.endpoint().service().equals(service) || !view.usable()) {
        continue;
      }
      long backoff = view.availability().backoffMillis(now);
      if (backoff > 0) {
        leastBackoff = Math.min(leastBackoff, backoff);
        continue;
      }
      takes = true;
      if (tried.contains(view.life())) {
        skipped = true;
        continue;
      }
      Cost cost = cost(view, request, preference, now);
      if (best == null || cost.lessThan(bestCost)) {
        best = view;
        bestCost = cost;
      }
    }
    if (!takes && leastBackoff < Long.MAX_VALUE) {
      return new Placement.Nowhere(Placement.Reason.ALL_BACK_OFF, leastBackoff);
    }
    if (best == null) {
      return new Placement.Nowhere(
          skipped ? Placement.Reason.ALL_TRIED : Placement.Reason.NO_ENDPOINT);
    }
    return new Placement.At(
        best,
        bestCost.present(),
        Math.round(bestCost.latency()),
        Math.round(bestCost.stall()),
        canLoad(best, request, now),
        bestCost.rateWait());
  }

  /**
   * Right after everything has restarted no engine holds its base model, and all have free places.
   * A request that left its line for one of them would begin to wait anew, from engine to engine.
   */
  private static boolean canLoad(EndpointView view, PlacementRequest request, long now) {
    boolean model =
        request.adapter().map(adapter -> view.holdsModel(adapter.key().model())).orElse(true);
    return model && view.sparePlaces(now) > 0;
  }

  private Cost cost(EndpointView view, PlacementRequest request, Preference preference, long now) {
    return reckon(view, request, preference, now).after(view.limit().waitMillis(now));
  }

  private Cost reckon(
      EndpointView view, PlacementRequest request, Preference preference, long now) {
    double penalty = view.health().penaltyMillis(now);
    penalty += view.cold(now) ? settings.coldMillis() : 0;
    penalty += view.endpoint().zone().equals(zone) ? 0 : crossing(request);
    if (request.adapter().isEmpty()) {
      return plainCost(view, request, penalty);
    }
    HeldAdapter adapter = request.adapter().get();
    double read =
        (view.unreadTokens() + view.uncachedTokens(request))
            / settings.promptTokensPerMilli()
            * view.health().pace();
    double latency = read + view.running() * settings.runningMillis() + slotWait(view);
    penalty += delayOfOthers(view, request);
    if (view.holds(adapter)) {
      return new Cost(latency, penalty, 0, true);
    }
    double stall = stall(view, adapter, now);
    double choice = penalty + preference.position(view) * settings.preferenceMillis();
    if (!view.awaits(adapter) && !view.hasCopy(adapter)) {
      choice += settings.fetchMillis();
    }
    return new Cost(latency + stall, choice, stall, false);
  }

  /**
   * An engine runs as many requests at once as it has slots, and the others wait for one to end. A
   * hot adapter's engine has its slots taken while others have room: after a restart of everything
   * the callers of one adapter in five waited there for two seconds, where a second home costs the
   * price of a load.
   */
  private static double slotWait(EndpointView view) {
    int slots = Math.max(1, view.endpoint().slots());
    int waiting = Math.max(0, view.running() + 1 - slots);
    return waiting * view.health().runMillis() / slots;
  }

  /**
   * Prompts are read between the tokens of what runs. A run that is held up holds the place of its
   * adapter for longer, and places are what a full day lacks.
   */
  private double delayOfOthers(EndpointView view, PlacementRequest request) {
    double reading = view.uncachedTokens(request) / settings.promptTokensPerMilli();
    return reading * view.running() * settings.delayShare();
  }

  /**
   * Takes how long a first event took, to reckon with the engine's own speed from now on.
   *
   * @param view the engine
   * @param tokens unread there when the request was sent, its own included
   * @param takenMillis from the sending until the event
   */
  public void promptTook(EndpointView view, long tokens, long takenMillis) {
    view.promptTook(tokens, settings.promptTokensPerMilli(), takenMillis);
  }

  private double crossing(PlacementRequest request) {
    return settings.zoneMillis()
        + settings.zoneMillisPerKilobyte() * request.bytes() / BYTES_PER_KILOBYTE;
  }

  private Cost plainCost(EndpointView view, PlacementRequest request, double penalty) {
    double each = Math.max(1, view.health().latencyMillis());
    double rounds = (double) (view.running() + 1) / Math.max(1, view.endpoint().slots());
    double latency = each + each * rounds;
    double spread = Long.remainderUnsigned(Rendezvous.weight(request.hash(), view.hash()), 3);
    return new Cost(latency, penalty + spread, 0, true);
  }

  private double stall(EndpointView view, HeldAdapter adapter, long now) {
    if (!view.agentConnected() || !view.holdsModel(adapter.key().model())) {
      return settings.crowdMillis();
    }
    if (adapter.key().isBase()) {
      return 0;
    }
    if (view.awaits(adapter)) {
      return settings.loadingMillis();
    }
    LoadCosts costs = view.costs();
    double load = view.hasCopy(adapter) ? costs.copyMillis() : costs.storeMillis();
    int queue = Math.max(0, 1 - view.sparePlaces(now));
    return load + settings.replaceMillis() + (double) queue * costs.placeMillis();
  }

  private Preference preference(String service, HeldAdapter adapter) {
    long[] hashes = new long[views.size()];
    int count = 0;
    for (EndpointView view : views.values()) {
      if (view.endpoint().service().equals(service)) {
        hashes[count++] = view.hash();
      }
    }
    return new Preference(adapter.key(), Arrays.copyOf(hashes, count));
  }

  /**
   * What sending a request to an endpoint costs.
   *
   * @param latency milliseconds until its first event
   * @param choice milliseconds that only weigh one endpoint against another
   * @param stall the part of the latency that is a load
   * @param present whether it can start at once
   * @param rateWait the part of the latency that is the wait for a permit to send it
   */
  private record Cost(double latency, double choice, double stall, boolean present, long rateWait) {

    Cost(double latency, double choice, double stall, boolean present) {
      this(latency, choice, stall, present, 0);
    }

    Cost after(long wait) {
      return wait == 0 ? this : new Cost(latency + wait, choice, stall, present, wait);
    }

    /** An endpoint that takes a request now goes before any that has to be waited for. */
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
      return latency + choice;
    }
  }
}

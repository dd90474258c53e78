package org.hornbeamusher.placement;

import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Set;
import org.hornbeamusher.availability.EndpointAvailability;
import org.hornbeamusher.availability.SendDecision;
import org.hornbeamusher.directory.AdapterVersion;
import org.hornbeamusher.directory.Endpoint;
import org.hornbeamusher.holdings.LoadCosts;
import org.hornbeamusher.ids.EndpointId;
import org.hornbeamusher.ids.EndpointIncarnation;
import org.hornbeamusher.ratelimit.EndpointRateLimit;
import org.hornbeamusher.routes.AdapterKey;
import org.hornbeamusher.routing.RendezvousHash;

/**
 * This entry's local state of one incarnation of an endpoint: the adapters in its memory, as
 * reported by its agent or, without an agent, by the list of endpoints; the load of other entries,
 * as reported by the agent; and the load of this entry, which it counts itself.
 */
public final class EndpointView {

  /**
   * How long an adapter slot that this entry has requested may be missing from the agent's reports:
   * they are sent every 60 ms, and the round trip takes a few milliseconds more.
   */
  private static final long MAX_REPORT_DELAY_MILLIS = 90;

  /** Fraction of an engine's memory that is assumed to cache prompts sent by this entry. */
  private static final double PREFIX_MEMORY_FRACTION = 0.25;

  /** Limit on the remembered evicted adapters; more than any engine has cached copies of. */
  private static final int MAX_EVICTED_ADAPTERS = 512;

  private static final long NEVER = Long.MIN_VALUE / 2;

  private final PrefixCacheEstimate prefixes;
  private final EndpointHealth health = new EndpointHealth();
  private final EndpointRateLimit limit = new EndpointRateLimit();
  private final EndpointAvailability availability;
  private final UnnamedResponses unnamedResponses = new UnnamedResponses();
  private final long hash;

  /** Versions of the adapters evicted from the engine's slots; the oldest eviction comes first. */
  private final LinkedHashMap<AdapterKey, Long> evicted = new LinkedHashMap<>();

  private Endpoint endpoint;

  /** The end of the slow phase after its start. */
  private long warmUpEndMillis = Long.MIN_VALUE;

  private boolean agentConnected;
  private boolean leaving;

  /** The agent reports that this incarnation has ended; the list does not show it yet. */
  private boolean ended;

  /** The endpoint has been removed; requests that were placed here before must not be sent. */
  private boolean removed;

  /** As reported by the agent; defaults before the first report and without an agent. */
  private LoadCosts costs;

  private Set<AdapterVersion> residentAdapters;

  /** The base models of the resident adapters; each placement looks up one at every endpoint. */
  private Set<String> residentModels;

  private Set<AdapterVersion> loadingAdapters = Set.of();
  private int othersRunning;
  private long othersPromptTokens;

  /** One before the first report of an agent, so that an engine without a report is tried. */
  private int reportedFreeSlots = 1;

  private int waitingAdapters;

  /**
   * Adapters that this entry requested, and when; each may take a slot that no report counts yet.
   */
  private final Map<AdapterVersion, Long> requestedAdapters = new HashMap<>();

  private long lastReceivedMillis = NEVER;

  private int ownRunning;
  private long ownPromptTokens;

  /**
   * Creates the state of an endpoint to which this entry has not sent a request yet.
   *
   * @param endpoint the endpoint
   * @param memoryTokens an engine's memory; 0 at a plain service
   * @param adapterSlots the adapter slots of an engine; 0 at a plain service
   * @param availability whether this incarnation accepts requests, by its own responses
   */
  public EndpointView(
      Endpoint endpoint, long memoryTokens, int adapterSlots, EndpointAvailability availability) {
    this.endpoint = endpoint;
    this.availability = availability;
    this.costs = LoadCosts.initialEstimate(adapterSlots);
    setResidentAdapters(endpoint.residentAdapters());
    this.hash = RendezvousHash.hash(endpoint.id().value());
    this.prefixes = new PrefixCacheEstimate((long) (memoryTokens * PREFIX_MEMORY_FRACTION));
  }

  /**
   * Records that a part of a response has arrived.
   *
   * @param now milliseconds
   */
  public void received(long now) {
    lastReceivedMillis = now;
  }

  /**
   * Returns how long this entry has received nothing from the endpoint.
   *
   * @param now milliseconds
   * @return milliseconds; -1 if nothing was received
   */
  public long silentMillis(long now) {
    return lastReceivedMillis == NEVER ? -1 : now - lastReceivedMillis;
  }

  /**
   * Records a response that does not name the request that it answers.
   *
   * @param now milliseconds
   */
  public void unnamedResponse(long now) {
    unnamedResponses.record(now);
  }

  /**
   * Returns whether the next response may not name its request either.
   *
   * @param now milliseconds
   * @return whether the endpoint has lately sent such a response
   */
  public boolean sendsUnnamedResponses(long now) {
    return unnamedResponses.recent(now);
  }

  /**
   * Applies the endpoint's current list entry.
   *
   * @param listed the same incarnation of the endpoint
   * @param now milliseconds
   */
  public void updateFromList(Endpoint listed, long now) {
    endpoint = listed;
    warmUpEndMillis = now + listed.coldMillis();
    if (!agentConnected) {
      replaceResidentAdapters(listed.residentAdapters());
    }
  }

  /**
   * Applies the agent's report of the adapters in the engine's memory.
   *
   * @param resident adapters that can run requests now
   * @param loading adapters that are being loaded
   * @param leavingNow whether it accepts no new work; this is final for the incarnation
   */
  public void updateFromAgent(
      Set<AdapterVersion> resident, Set<AdapterVersion> loading, boolean leavingNow) {
    agentConnected = true;
    ended = false;
    leaving |= leavingNow;
    replaceResidentAdapters(resident);
    loadingAdapters = Set.copyOf(loading);
  }

  /**
   * Applies the agent's report of the load of other entries.
   *
   * @param requests their requests that run or wait there
   * @param tokens prompt tokens of these requests that are not processed yet
   * @param freeSlots adapter slots that are free for a load, minus the adapters that wait for one
   */
  public void reportedLoad(int requests, long tokens, int freeSlots) {
    reportedFreeSlots = freeSlots;
    othersRunning = requests;
    othersPromptTokens = tokens;
  }

  /**
   * Applies the agent's report of the queue for its engine's adapter slots.
   *
   * @param adapters adapters that cannot be loaded until a request ends
   */
  public void reportedWaitingAdapters(int adapters) {
    waitingAdapters = adapters;
  }

  /**
   * Returns the length of the queue for the engine's adapter slots, as its agent reported last.
   *
   * @return adapters that cannot be loaded until a request ends
   */
  public int waitingAdapters() {
    return waitingAdapters;
  }

  /**
   * Applies the load costs that the agent has measured at its engine.
   *
   * @param measured the costs of loading an adapter there
   */
  public void reportedCosts(LoadCosts measured) {
    costs = measured;
  }

  /**
   * Marks this incarnation as ended: the agent sees another incarnation of its engine, or none. The
   * list still contains this one for some seconds, in which every request sent here would be
   * refused and every wait for a load would time out.
   */
  public void markEndedByAgent() {
    ended = true;
    loadingAdapters = Set.of();
  }

  /**
   * Handles the loss of the connection to the agent. The adapters that it reported last are kept
   * until the next list.
   */
  public void agentLost() {
    agentConnected = false;
    ended = false;
    loadingAdapters = Set.of();
    othersRunning = 0;
    othersPromptTokens = 0;
  }

  private void replaceResidentAdapters(Set<AdapterVersion> current) {
    Set<AdapterVersion> removedAdapters = new HashSet<>(residentAdapters);
    removedAdapters.removeAll(current);
    for (AdapterVersion adapter : removedAdapters) {
      evicted.remove(adapter.key());
      evicted.put(adapter.key(), adapter.version());
    }
    while (evicted.size() > MAX_EVICTED_ADAPTERS) {
      evicted.remove(evicted.keySet().iterator().next());
    }
    setResidentAdapters(current);
  }

  private void setResidentAdapters(Set<AdapterVersion> current) {
    residentAdapters = Set.copyOf(current);
    Set<String> models = new HashSet<>();
    residentAdapters.forEach(adapter -> models.add(adapter.key().model()));
    residentModels = models;
  }

  /**
   * Counts a request that is sent or waits for its adapter to be loaded.
   *
   * @param request the request
   * @param now milliseconds
   */
  public void requestStarted(PlacementRequest request, long now) {
    ownRunning++;
    ownPromptTokens += uncachedTokens(request);
    request.adapter().ifPresent(adapter -> prefixes.recordSent(adapter.key(), request.parts()));
    request
        .adapter()
        .filter(adapter -> !isResident(adapter) && !isLoading(adapter))
        .ifPresent(adapter -> requestedAdapters.put(adapter, now));
  }

  /**
   * Stops counting the prompt of a request: it has been processed, or never will be.
   *
   * @param tokens the value of {@link #uncachedTokens} when the request was started
   */
  public void promptProcessed(long tokens) {
    ownPromptTokens = Math.max(0, ownPromptTokens - tokens);
  }

  /** Stops counting a request, which has ended. */
  public void requestEnded() {
    ownRunning = Math.max(0, ownRunning - 1);
  }

  /**
   * Records a successful response.
   *
   * @param latencyMillis until the response was complete or, for a stream, until its first event
   */
  public void succeeded(double latencyMillis) {
    health.recordLatency(latencyMillis);
  }

  /**
   * Records the time to the first event of an engine's response.
   *
   * @param tokens prompt tokens pending there when the request was sent, including its own
   * @param promptTokensPerMilli prompt processing speed by the engine's data sheet
   * @param takenMillis from sending the request until the event
   */
  public void recordFirstEventTime(long tokens, double promptTokensPerMilli, long takenMillis) {
    health.recordPromptTime(tokens / promptTokensPerMilli, takenMillis);
  }

  /**
   * Records the duration of a request that an engine has completed.
   *
   * @param takenMillis from sending the request until the end of the response
   */
  public void runCompleted(long takenMillis) {
    health.recordRun(takenMillis);
  }

  /**
   * Records an attempt that failed because of the endpoint.
   *
   * @param now milliseconds
   */
  public void failed(long now) {
    health.recordFailure(now);
  }

  /**
   * Handles a response that shows that another endpoint runs at this address, or that the requested
   * adapter is not in its memory. A connected agent corrects this state within a few milliseconds.
   * Without an agent the state comes from the list, which lags by seconds behind a restart: every
   * further request would be refused, too, until the list entry expires. So the adapters are
   * dropped and the endpoint gets the maximum penalty.
   *
   * @param now milliseconds
   */
  public void misdirected(long now) {
    if (!agentConnected) {
      setResidentAdapters(Set.of());
      health.setMaxPenalty(now);
    }
  }

  /**
   * Returns how much of a prompt the endpoint would have to process.
   *
   * @param request the request
   * @return the number of prompt tokens that it probably has not cached
   */
  public int uncachedTokens(PlacementRequest request) {
    if (request.adapter().isEmpty()) {
      return Math.max(0, request.promptTokens());
    }
    int cached = prefixes.cachedTokens(request.adapter().get().key(), request.parts());
    return Math.max(0, request.promptTokens() - cached);
  }

  /**
   * Returns the endpoint's id.
   *
   * @return the id
   */
  public EndpointId id() {
    return endpoint.id();
  }

  /**
   * Returns the incarnation that this state belongs to.
   *
   * @return the endpoint's incarnation
   */
  public EndpointIncarnation incarnation() {
    return endpoint.incarnation();
  }

  /**
   * Returns the endpoint.
   *
   * @return the endpoint as of the last list
   */
  public Endpoint endpoint() {
    return endpoint;
  }

  /**
   * Returns whether the endpoint's agent is connected.
   *
   * @return always false at a plain service
   */
  public boolean agentConnected() {
    return agentConnected;
  }

  /**
   * Returns whether an adapter is in the engine's memory, so that requests can run on it now.
   *
   * @param adapter adapter and version
   * @return whether it is in memory; for a base model, whether that model is, in any version
   */
  public boolean isResident(AdapterVersion adapter) {
    return adapter.key().isBase()
        ? hasModel(adapter.key().model())
        : residentAdapters.contains(adapter);
  }

  /** Marks the endpoint as removed. */
  public void markRemoved() {
    removed = true;
  }

  /**
   * Returns whether requests may be placed here.
   *
   * @return false when the endpoint accepts no new work, has ended or was removed
   */
  public boolean usable() {
    return !removed && !ended && !leaving();
  }

  /** Returns whether the endpoint is in the slow phase after its start. */
  boolean isCold(long now) {
    return now < warmUpEndMillis;
  }

  /**
   * Returns whether a request may be sent here now.
   *
   * @param now milliseconds
   * @return false also while the endpoint has asked this entry to back off
   */
  public boolean takesRequests(long now) {
    return usable() && availability.decide(now) instanceof SendDecision.Now;
  }

  /**
   * Returns whether the endpoint accepts no new work.
   *
   * @return true if the list, the agent or one of the endpoint's own responses says so
   */
  public boolean leaving() {
    return leaving || endpoint.leaving() || availability.leaving();
  }

  /**
   * Returns whether the endpoint was withdrawn, so that it only completes what it runs.
   *
   * @return true if it has stated that it leaves or is not listed any more
   */
  public boolean isWithdrawn() {
    return removed || leaving();
  }

  /**
   * Returns whether an adapter is being loaded.
   *
   * @param adapter adapter and version
   * @return whether the agent has reported that its load is ordered
   */
  public boolean isLoading(AdapterVersion adapter) {
    return loadingAdapters.contains(adapter);
  }

  /**
   * Returns whether a base model is in the engine's memory. Without it none of its adapters can be
   * loaded.
   *
   * @param model the model's name
   * @return whether the model or one of its adapters was reported there
   */
  public boolean hasModel(String model) {
    return residentModels.contains(model);
  }

  /** Returns whether the engine probably still caches a copy of an adapter that it has evicted. */
  boolean hasCopy(AdapterVersion adapter) {
    Long version = evicted.get(adapter.key());
    if (version == null || version != adapter.version()) {
      return false;
    }
    int laterEvictions = evicted.size();
    for (AdapterKey key : evicted.keySet()) {
      laterEvictions--;
      if (key.equals(adapter.key())) {
        break;
      }
    }
    return laterEvictions < costs.cachedAdapters();
  }

  LoadCosts costs() {
    return costs;
  }

  /**
   * Returns how long a load from the weight store takes here.
   *
   * @return the agent's estimate, including the wait until the load may begin
   */
  public long storeLoadMillis() {
    return costs.storeLoadMillis();
  }

  /**
   * Returns the free adapter slots; with zero or less a load has to wait for one. Slots that this
   * entry has just requested count as taken, or a burst of loads would be placed on one free slot.
   *
   * @param now milliseconds
   * @return free slots minus the adapters that wait for one
   */
  public int freeAdapterSlots(long now) {
    if (!requestedAdapters.isEmpty()) {
      requestedAdapters
          .values()
          .removeIf(requestedMillis -> now - requestedMillis >= MAX_REPORT_DELAY_MILLIS);
    }
    return reportedFreeSlots - requestedAdapters.size();
  }

  /**
   * Returns whether a request whose adapter is not loaded would have to wait for a run to end.
   *
   * @param now milliseconds
   * @return whether more adapters wait for slots than there are free slots
   */
  public boolean lacksAdapterSlots(long now) {
    return freeAdapterSlots(now) < 0;
  }

  /**
   * Returns the number of requests at the endpoint.
   *
   * @return this entry's requests and those that the agent reported of other entries
   */
  public int running() {
    return ownRunning + othersRunning;
  }

  /**
   * Returns the prompt tokens that the engine has accepted and not processed yet.
   *
   * @return tokens of this entry's requests and those that the agent reported of other entries
   */
  public long pendingPromptTokens() {
    return ownPromptTokens + othersPromptTokens;
  }

  /**
   * Returns the rate limit of the endpoint.
   *
   * @return the limit stated in its responses to this entry
   */
  public EndpointRateLimit limit() {
    return limit;
  }

  /**
   * Returns whether the endpoint accepts requests, by its own responses.
   *
   * @return the state from its responses to this entry
   */
  public EndpointAvailability availability() {
    return availability;
  }

  EndpointHealth health() {
    return health;
  }

  long hash() {
    return hash;
  }
}

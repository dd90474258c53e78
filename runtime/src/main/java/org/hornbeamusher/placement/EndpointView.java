package org.hornbeamusher.placement;

import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Set;
import org.hornbeamusher.availability.EndpointAvailability;
import org.hornbeamusher.availability.SendDecision;
import org.hornbeamusher.directory.Endpoint;
import org.hornbeamusher.directory.HeldAdapter;
import org.hornbeamusher.holdings.LoadCosts;
import org.hornbeamusher.ids.EndpointId;
import org.hornbeamusher.ids.EndpointLife;
import org.hornbeamusher.ratelimit.EndpointLimit;
import org.hornbeamusher.routes.AdapterKey;
import org.hornbeamusher.routing.Rendezvous;

/**
 * What this entry believes of one life of an endpoint: what it holds, by its agent's word or,
 * without one, by the list of endpoints; what other entries have running there, by the agent's
 * word; and what this entry has running there itself, which no report has to tell it.
 */
public final class EndpointView {

  /**
   * How long a place that this entry has asked for may be missing from the agent's reports: they
   * are sent each 60 ms, and the way there and back takes a few more.
   */
  private static final long UNREPORTED_MILLIS = 90;

  /** How much of an engine's memory is assumed to hold prompts that this entry sent. */
  private static final double PREFIX_SHARE = 0.25;

  /** Adapters that left the places and are remembered; more than any engine has copies of. */
  private static final int MOST_REMEMBERED = 512;

  private final PrefixCache prefixes;
  private final EndpointHealth health = new EndpointHealth();
  private final EndpointLimit limit = new EndpointLimit();
  private final EndpointAvailability availability;
  private final long hash;

  /** Adapters that left the engine's places; the least recent one is forgotten first. */
  private final LinkedHashMap<AdapterKey, Long> recent = new LinkedHashMap<>();

  private Endpoint endpoint;

  /** Until when it is slow after its start. */
  private long warmMillis = Long.MIN_VALUE;

  private boolean agentConnected;
  private boolean leaving;

  /** The agent beside the engine says that this life of it is over, which the list does not yet. */
  private boolean ended;

  /** The endpoint is not in use any more; what was placed here before must not be sent. */
  private boolean removed;

  /** The agent's word; until then, and where no agent is, what is believed of any engine. */
  private LoadCosts costs;

  private Set<HeldAdapter> held;
  private Set<HeldAdapter> coming = Set.of();
  private int othersRunning;
  private long othersPromptTokens;

  /** One until an agent says more: an engine of which nothing is known is worth a try. */
  private int sparePlaces = 1;

  /** Adapters that this entry asked for, and when; each may take a place no report counts yet. */
  private final Map<HeldAdapter, Long> asked = new HashMap<>();

  private int running;
  private long promptTokens;

  /**
   * Creates a view of an endpoint that this entry has sent nothing yet.
   *
   * @param endpoint the endpoint
   * @param memoryTokens an engine's memory; 0 at a plain service
   * @param places adapters that an engine holds at once; 0 at a plain service
   * @param availability what this incarnation has stated of whether it takes requests
   */
  public EndpointView(
      Endpoint endpoint, long memoryTokens, int places, EndpointAvailability availability) {
    this.endpoint = endpoint;
    this.availability = availability;
    this.costs = LoadCosts.prior(places);
    this.held = endpoint.held();
    this.hash = Rendezvous.hash(endpoint.id().value());
    this.prefixes = new PrefixCache((long) (memoryTokens * PREFIX_SHARE));
  }

  /**
   * Takes what the list says now.
   *
   * @param listed the same life of the endpoint
   * @param now milliseconds
   */
  public void listed(Endpoint listed, long now) {
    endpoint = listed;
    warmMillis = now + listed.coldMillis();
    if (!agentConnected) {
      replaceHeld(listed.held());
    }
  }

  /**
   * Takes what the endpoint's agent says it holds.
   *
   * @param resident can run requests now
   * @param loading on the way
   * @param leavingNow whether it takes no new work; it never does again
   */
  public void reported(Set<HeldAdapter> resident, Set<HeldAdapter> loading, boolean leavingNow) {
    agentConnected = true;
    ended = false;
    leaving |= leavingNow;
    replaceHeld(resident);
    coming = Set.copyOf(loading);
  }

  /**
   * Takes what other entries have at the endpoint.
   *
   * @param requests running or waiting there
   * @param tokens of their prompts that are not read yet
   * @param spare places for adapters that a load could have at once, less those that wait for one
   */
  public void reportedLoad(int requests, long tokens, int spare) {
    sparePlaces = spare;
    othersRunning = requests;
    othersPromptTokens = tokens;
  }

  /**
   * Takes what the agent has learnt of its engine.
   *
   * @param learnt what it costs to have an adapter there
   */
  public void reportedCosts(LoadCosts learnt) {
    costs = learnt;
  }

  /**
   * The agent sees another life of its engine, or none. The list names this one for seconds more;
   * all that was sent here meanwhile would be refused, and what waits for a load would wait in
   * vain.
   */
  public void endedByAgent() {
    ended = true;
    coming = Set.of();
  }

  /** The connection to the agent is lost; what it said last is kept until the list says more. */
  public void agentLost() {
    agentConnected = false;
    ended = false;
    coming = Set.of();
    othersRunning = 0;
    othersPromptTokens = 0;
  }

  private void replaceHeld(Set<HeldAdapter> now) {
    Set<HeldAdapter> left = new HashSet<>(held);
    left.removeAll(now);
    for (HeldAdapter adapter : left) {
      recent.remove(adapter.key());
      recent.put(adapter.key(), adapter.version());
    }
    while (recent.size() > MOST_REMEMBERED) {
      recent.remove(recent.keySet().iterator().next());
    }
    held = Set.copyOf(now);
  }

  /**
   * A request is sent, or waits for its adapter.
   *
   * @param request what it is
   * @param now milliseconds
   */
  public void started(PlacementRequest request, long now) {
    running++;
    promptTokens += uncachedTokens(request);
    request.adapter().ifPresent(adapter -> prefixes.sent(adapter.key(), request.parts()));
    request
        .adapter()
        .filter(adapter -> !holds(adapter) && !awaits(adapter))
        .ifPresent(adapter -> asked.put(adapter, now));
  }

  /**
   * The prompt of a request has been read, or will not be.
   *
   * @param tokens what {@link #uncachedTokens} said when it was started
   */
  public void promptRead(long tokens) {
    promptTokens = Math.max(0, promptTokens - tokens);
  }

  /** A request has ended. */
  public void ended() {
    running = Math.max(0, running - 1);
  }

  /**
   * An answer came.
   *
   * @param latencyMillis until it was whole, or until its first event
   */
  public void succeeded(double latencyMillis) {
    health.succeeded(latencyMillis);
  }

  /**
   * An engine's first event came.
   *
   * @param tokens unread there when the request was sent, its own included
   * @param promptTokensPerMilli how fast the engine's sheet says that it reads
   * @param takenMillis from the sending until the event
   */
  public void promptTook(long tokens, double promptTokensPerMilli, long takenMillis) {
    health.read(tokens / promptTokensPerMilli, takenMillis);
  }

  /**
   * An engine's answer is whole.
   *
   * @param takenMillis from the sending until its end
   */
  public void ran(long takenMillis) {
    health.ran(takenMillis);
  }

  /**
   * An attempt failed through the endpoint's fault.
   *
   * @param now milliseconds
   */
  public void failed(long now) {
    health.failed(now);
  }

  /**
   * What stands at this address is not this endpoint, or does not hold what it was believed to
   * hold. Where an agent is connected, its next word is a few milliseconds away and tells which.
   * Without one only the list has spoken, which lags by seconds behind an endpoint that started
   * again: every further request would be refused as well until its entry lapses.
   *
   * @param now milliseconds
   */
  public void misdirected(long now) {
    if (!agentConnected) {
      held = Set.of();
      health.misdirected(now);
    }
  }

  /**
   * Returns how much of a prompt the endpoint would have to read.
   *
   * @param request the request
   * @return tokens
   */
  public int uncachedTokens(PlacementRequest request) {
    int cached =
        request
            .adapter()
            .map(adapter -> prefixes.cachedTokens(adapter.key(), request.parts()))
            .orElse(0);
    return Math.max(0, request.promptTokens() - cached);
  }

  /**
   * Returns the id.
   *
   * @return the endpoint's
   */
  public EndpointId id() {
    return endpoint.id();
  }

  /**
   * Returns the life that all of this is believed of.
   *
   * @return the endpoint's
   */
  public EndpointLife life() {
    return endpoint.life();
  }

  /**
   * Returns the endpoint.
   *
   * @return as it was listed last
   */
  public Endpoint endpoint() {
    return endpoint;
  }

  /**
   * Tells whether the agent beside the endpoint is connected.
   *
   * @return false at a plain service
   */
  public boolean agentConnected() {
    return agentConnected;
  }

  /**
   * Tells whether an adapter can be used now.
   *
   * @param adapter adapter and version
   * @return whether the endpoint holds it
   */
  public boolean holds(HeldAdapter adapter) {
    return adapter.key().isBase() ? holdsModel(adapter.key().model()) : held.contains(adapter);
  }

  /** The endpoint is gone. */
  public void removed() {
    removed = true;
  }

  /**
   * Tells whether requests may be placed here.
   *
   * @return false when it takes no new work or has ended
   */
  public boolean usable() {
    return !removed && !ended && !leaving();
  }

  /** Returns whether the endpoint has just started and is slow for a while. */
  boolean cold(long now) {
    return now < warmMillis;
  }

  /**
   * Decides whether a request may be sent here.
   *
   * @param now milliseconds
   * @return false also while the endpoint wants no requests of this entry
   */
  public boolean takesRequests(long now) {
    return usable() && availability.decide(now) instanceof SendDecision.Now;
  }

  /**
   * Tells whether the endpoint takes no new work.
   *
   * @return as the list, its agent or one of its own answers says
   */
  public boolean leaving() {
    return leaving || endpoint.leaving() || availability.leaving();
  }

  /**
   * Tells whether an adapter is being loaded.
   *
   * @param adapter adapter and version
   * @return whether its load has been ordered
   */
  public boolean awaits(HeldAdapter adapter) {
    return coming.contains(adapter);
  }

  /**
   * Tells whether the engine has a base model; without it no adapter of it can be loaded.
   *
   * @param model its name
   * @return as far as known
   */
  public boolean holdsModel(String model) {
    return held.stream().anyMatch(one -> one.key().model().equals(model));
  }

  /** Tells whether the engine has a copy of an adapter that has left its places. */
  boolean hasCopy(HeldAdapter adapter) {
    Long version = recent.get(adapter.key());
    if (version == null || version != adapter.version()) {
      return false;
    }
    int later = recent.size();
    for (AdapterKey key : recent.keySet()) {
      later--;
      if (key.equals(adapter.key())) {
        break;
      }
    }
    return later < costs.copies();
  }

  LoadCosts costs() {
    return costs;
  }

  /**
   * Returns places a load could have at once; zero or less means that it has to wait for one. What
   * this entry has just asked for counts as taken, or a burst would follow one free place.
   */
  int sparePlaces(long now) {
    asked.values().removeIf(askedMillis -> now - askedMillis >= UNREPORTED_MILLIS);
    return sparePlaces - asked.size();
  }

  /**
   * Tells whether a request without its adapter would have to wait for a run to end.
   *
   * @param now milliseconds
   * @return whether more adapters wait for places than there are
   */
  public boolean crowded(long now) {
    return sparePlaces(now) < 0;
  }

  /**
   * Returns the requests at the endpoint.
   *
   * @return this entry's and, as far as known, those of others
   */
  public int running() {
    return running + othersRunning;
  }

  /**
   * Returns what the engine has to read before it is done with what it was sent.
   *
   * @return tokens of this entry's requests and, as far as known, of others'
   */
  public long unreadTokens() {
    return promptTokens + othersPromptTokens;
  }

  /**
   * Returns the rate of requests that the endpoint takes.
   *
   * @return as its answers to this entry state it
   */
  public EndpointLimit limit() {
    return limit;
  }

  /**
   * Returns what the endpoint has stated of whether it takes requests.
   *
   * @return by its answers to this entry
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

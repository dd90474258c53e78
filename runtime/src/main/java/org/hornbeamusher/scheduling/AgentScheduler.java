package org.hornbeamusher.scheduling;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.function.Predicate;
import org.hornbeamusher.failure.FailureType;
import org.hornbeamusher.ids.AdapterRef;
import org.hornbeamusher.routing.EndpointLoad;

/**
 * Decides for one endpoint what is started, refused, loaded and evicted.
 *
 * <p>One agent stands beside one endpoint and everything that runs there passes through it, so this
 * class is the serial point of that endpoint: a pin counted here needs no lock anywhere else. It is
 * a plain state machine. The shell tells it what happened, with the time, and then asks {@link
 * #poll} for what to do; it opens no connection, starts no thread and reads no clock. Not safe for
 * use by several threads at once.
 *
 * <h2>What a request goes through</h2>
 *
 * <ol>
 *   <li>{@link #submit}: {@link Admission} refuses at once what cannot finish in time or finds no
 *       room in the queue. All else waits.
 *   <li>{@link #poll} drops what has become hopeless while it waited. A request that the scheduler
 *       has given up on gets its answer then, never held back until its deadline.
 *   <li>{@link #poll} fills the free batch places from the requests whose adapter is resident, in
 *       the order of {@link FairQueue}. Starting pins the adapter.
 *   <li>{@link #poll} orders at most one load, for the adapter that {@link LoadDemand} puts first,
 *       into the slot that {@link Residency} gives.
 *   <li>{@link #finished} unpins. A started request is never refused.
 * </ol>
 *
 * <h2>Filling the batch against waiting for loads</h2>
 *
 * <p>Requests whose adapter is resident overtake those that wait for a load: leaving a place empty
 * for an adapter that is not there helps nobody. But when every slot holds an adapter that is in
 * use, always starting the next request on it keeps it pinned for ever, and the adapter that waits
 * never finds a slot. Example with one slot and a batch of two: requests for A arrive every 100 ms
 * and run 300 ms, one for B arrives; A's pin count never reaches 0 and B is never loaded.
 *
 * <p>So overtaking has a bound. Once the oldest request for the most wanted adapter has waited that
 * long, the resident adapter that will be free first is <em>drained</em>: nothing more starts on it
 * until its pins are gone and it is evicted. Draining leaves places empty, which costs batch
 * efficiency, and shortens a load stall; the services' documents say what each is worth to them.
 * The bound is {@value #OVERTAKING_MILLIS} ms × 2 × (1 − urgency): a service that weighs only
 * stalls drains at once, one that weighs both alike after the whole bound, one that weighs only
 * batch efficiency after twice the bound. An adapter with more waiting demand than the newcomer is
 * not drained; demand ages, so the newcomer's turn comes all the same.
 *
 * <h2>Loads</h2>
 *
 * <p>One order is in flight at a time. The store serves one load at full speed, so a second would
 * slow the first, and the demand may have changed by the time it starts. Without a permit no load
 * begins (when the settings ask for permits); the ask carries the demand, so the holder can put the
 * most wanted adapter of all agents first. A request whose deadline leaves no time for load and run
 * is refused before the load is chosen, so no load is ordered for requests that are all lost.
 *
 * <p>After {@link #endpointRestarted} nothing is resident and every waiting request misses its
 * adapter; the same order of loads rewarms the endpoint, most wanted first and one at a time.
 *
 * <h2>How fast it reacts, and what keeps it from swinging</h2>
 *
 * <p>Starts and refusals follow each event at once. Loads follow demand with the next order, so
 * after a shift in popularity the bound is the weight store's pace. The minimum stay and the rule
 * that waiting demand protects a resident keep two adapters from evicting each other; draining is
 * held back by its bound; expectations of run time and load pace are means over tens of requests
 * and a few loads, within fixed limits.
 *
 * <h2>Rejected</h2>
 *
 * <ul>
 *   <li>Preempting a running request for a fairer share: the tokens it made are wasted, and a
 *       request that must run at most once cannot be started again.
 *   <li>Several loads at a time: see above.
 *   <li>A guaranteed part of the slots for each partner, beside that of the batch and the store's
 *       turns: with one partner flooding a pool it changed the other's share by less than the
 *       measurement's own spread, and cost batch efficiency.
 *   <li>Holding a request that will miss its deadline in the hope that others are cancelled: its
 *       caller could have gone elsewhere.
 * </ul>
 */
public final class AgentScheduler {

  private static final long OVERTAKING_MILLIS = 2_000;

  /** A batch of fewer places is open to long requests entirely. */
  private static final int SMALLEST_LIMITED_BATCH = 4;

  /** One place in this many is closed to long requests. */
  private static final int LONG_LIMIT_PART = 8;

  /** A request that hangs is charged at most this many times what was expected. */
  private static final double MOST_CHARGED = 4;

  /**
   * How long what waits at a leaving endpoint may still be started: half of the two seconds after
   * which such an endpoint gets nothing new any more. The other half is for the way to the engine.
   */
  static final long LEAVING_START_MILLIS = 1_000;

  private static final long IDLE_POLL_MILLIS = 1_000;
  private static final long WAITING_POLL_MILLIS = 100;

  private final SchedulerSettings settings;
  private final FairQueue queue;
  private final Residency residency;
  private final LoadDemand demand;
  private final LoadFailures failures = new LoadFailures();
  private final LoadPermit permit;
  private final LoadPace pace;
  private final WorkEstimate work;
  private final WaitEstimate estimate;
  private final Admission admission;
  private final Map<Long, Waiting> running = new HashMap<>();
  private final List<AgentAction> refusals = new ArrayList<>();

  /** Before this time no waiting request needs to be looked at for being hopeless. */
  private long nextScan = Long.MIN_VALUE;

  private long lastScan = Long.MIN_VALUE;

  private final DrainWindow drainWindow = new DrainWindow(LEAVING_START_MILLIS);

  /** On which nothing more starts until it is evicted. */
  private Optional<AdapterRef> draining = Optional.empty();

  /**
   * Creates a scheduler for an endpoint that holds nothing.
   *
   * @param settings the endpoint's figures
   */
  public AgentScheduler(SchedulerSettings settings) {
    this.settings = settings;
    this.queue = new FairQueue(settings);
    this.residency = new Residency(settings);
    this.demand = new LoadDemand(settings);
    this.permit = new LoadPermit(settings);
    this.pace = new LoadPace(settings);
    this.work = new WorkEstimate(settings);
    this.estimate =
        new WaitEstimate(settings, queue, residency, work, demand, pace, running.values());
    this.admission = new Admission(settings, queue, estimate, work, failures);
  }

  /**
   * Takes in a request. Whether it is refused is said by the next {@link #poll}.
   *
   * @param request what arrived
   * @param now milliseconds
   */
  public void submit(QueuedRequest request, long now) {
    work.arrived(request.costTokens());
    switch (admission.decide(request, now)) {
      case AdmissionDecision.Admit admit -> enqueue(request, now);
      case AdmissionDecision.Displace displace -> {
        refuse(displace.victim(), FailureType.QUEUE_FULL, waitOf(displace.victim(), now));
        enqueue(request, now);
      }
      case AdmissionDecision.Refuse refuse ->
          refusals.add(
              new AgentAction.Refuse(request.ticket(), refuse.type(), refuse.retryAfterMillis()));
    }
  }

  /**
   * Forgets a request, queued or running.
   *
   * @param ticket the request
   * @param now milliseconds
   * @return whether it had been started
   */
  public boolean cancel(long ticket, long now) {
    queue.find(ticket).ifPresent(this::dequeue);
    refusals.removeIf(
        action -> action instanceof AgentAction.Refuse refuse && refuse.ticket() == ticket);
    Waiting started = running.remove(ticket);
    if (started != null) {
      release(started, now);
    }
    return started != null;
  }

  /**
   * Records that a started request ended, in whatever way.
   *
   * @param ticket the request
   * @param now milliseconds
   */
  public void finished(long ticket, long now) {
    Waiting ended = running.remove(ticket);
    if (ended != null) {
      work.ended(ended.request.costTokens(), now - ended.startedMillis());
      release(ended, now);
    }
  }

  /**
   * Records that a load ended well.
   *
   * @param adapter what was loaded
   * @param now milliseconds
   */
  public void loaded(AdapterRef adapter, long now) {
    pace.ended(now);
    failures.succeeded(adapter);
    residency.loaded(adapter, now);
    demand.waitingFor(adapter).forEach(waiting -> waiting.adapterPresent(now));
  }

  /**
   * Records that a load failed; its eviction has happened all the same. When it failed too often,
   * the requests for it are refused so that their entries can send them elsewhere.
   *
   * @param adapter what was not loaded
   * @param now milliseconds
   */
  public void loadFailed(AdapterRef adapter, long now) {
    pace.ended(now);
    residency.loadFailed(adapter);
    failures.failed(adapter, now);
    OptionalLong refused = failures.refusedForMillis(adapter, now);
    if (refused.isPresent()) {
      List.copyOf(demand.waitingFor(adapter))
          .forEach(waiting -> refuse(waiting, FailureType.LOAD_FAILED, refused.getAsLong()));
    }
  }

  /**
   * Records that the endpoint restarted: it holds nothing, and what ran on it is lost. The shell
   * settles the lost requests; {@link #finished} for them has no effect.
   *
   * @param now milliseconds
   */
  public void endpointRestarted(long now) {
    running.keySet().forEach(ticket -> queue.ended(ticket, 0));
    running.clear();
    residency.cleared();
    draining = Optional.empty();
    markWaiting(now);
  }

  /**
   * Replaces what is known of the endpoint by what it says it holds.
   *
   * @param resident what it holds
   * @param now milliseconds
   */
  public void residencyObserved(Set<AdapterRef> resident, long now) {
    residency.observed(resident, now);
    markWaiting(now);
  }

  /**
   * Records that one load may begin.
   *
   * @param now milliseconds
   */
  public void permitGranted(@SuppressWarnings("unused") long now) {
    permit.granted();
  }

  /**
   * The endpoint leaves. Left in its queue, a request that waits for a load or for a place is
   * started when its turn comes, seconds after everybody was told that nothing new runs here; on an
   * endpoint that is then stopped it is lost. What has not started soon is therefore given back as
   * not run, and its entry sends it elsewhere.
   *
   * @param now milliseconds
   */
  public void leave(long now) {
    drainWindow.leave(now);
  }

  /**
   * Returns whether requests may still be handed to the endpoint.
   *
   * @param now milliseconds
   * @return false soon after {@link #leave}
   */
  public boolean mayStart(long now) {
    return drainWindow.open(now);
  }

  /**
   * Decides what happens next.
   *
   * @param now milliseconds
   * @return the actions, in order
   */
  public List<AgentAction> poll(long now) {
    if (!mayStart(now)) {
      List.copyOf(queue.all()).forEach(one -> refuse(one, FailureType.ENDPOINT_LEAVING, 0));
    }
    dropHopeless(now);
    List<AgentAction> actions = new ArrayList<>(refusals);
    refusals.clear();
    fillBatch(actions, now);
    planLoad(now).ifPresent(actions::add);
    return actions;
  }

  /**
   * Returns when {@link #poll} must be called again though nothing happened.
   *
   * @param now milliseconds
   * @return a time in milliseconds, after {@code now}
   */
  public long nextPollMillis(long now) {
    if (!refusals.isEmpty()) {
      return now + 1;
    }
    return now + (queue.size() == 0 ? IDLE_POLL_MILLIS : WAITING_POLL_MILLIS);
  }

  /**
   * Describes the endpoint for the entries.
   *
   * @param now milliseconds
   * @return the report
   */
  public EndpointLoad load(long now) {
    return new EndpointLoad(
        running.size(),
        queue.size(),
        settings.batch(),
        settings.slots(),
        Math.round(estimate.newcomerPlaceWaitMillis(now)),
        Math.round(estimate.newcomerLoadWaitMillis()),
        residency.residents());
  }

  private void enqueue(QueuedRequest request, long now) {
    Waiting added = queue.add(request, work.runMillis(request.costTokens()));
    demand.add(added);
    nextScan = Math.min(nextScan, mayBeHopelessAt(request));
    request
        .adapter()
        .ifPresent(
            ref -> {
              residency.requested(ref, added.urgency(), now);
              mark(added, ref, now);
            });
  }

  private void dequeue(Waiting waiting) {
    queue.remove(waiting);
    demand.remove(waiting);
  }

  private void refuse(Waiting waiting, FailureType type, long retryAfterMillis) {
    dequeue(waiting);
    refusals.add(new AgentAction.Refuse(waiting.request.ticket(), type, retryAfterMillis));
  }

  private void release(Waiting ended, long now) {
    double expected = Math.max(1, work.runMillis(ended.request.costTokens()));
    double ratio = Math.max(0, now - ended.startedMillis()) / expected;
    queue.ended(
        ended.request.ticket(), ended.request.costTokens() * (Math.min(ratio, MOST_CHARGED) - 1));
    ended.request.adapter().ifPresent(residency::unpin);
  }

  private void markWaiting(long now) {
    queue
        .all()
        .forEach(waiting -> waiting.request.adapter().ifPresent(ref -> mark(waiting, ref, now)));
  }

  private void mark(Waiting waiting, AdapterRef adapter, long now) {
    if (residency.resident(adapter)) {
      waiting.adapterPresent(now);
    } else {
      waiting.adapterMissing(now);
    }
  }

  private void dropHopeless(long now) {
    if (now < nextScan && now >= lastScan) {
      return;
    }
    lastScan = now;
    nextScan = now + WAITING_POLL_MILLIS;
    queue.all().forEach(one -> nextScan = Math.min(nextScan, mayBeHopelessAt(one.request)));
    List<Waiting> hopeless = queue.all().stream().filter(one -> hopeless(one, now)).toList();
    hopeless.forEach(one -> refuse(one, FailureType.DEADLINE_TOO_NEAR, waitOf(one, now)));
  }

  /** Returns a time before which a request still has its run and a whole load before it. */
  private long mayBeHopelessAt(QueuedRequest request) {
    double run = work.runMillis(request.costTokens());
    return request.deadlineMillis() - Math.round(run) - settings.loadMillis();
  }

  private boolean hopeless(Waiting waiting, long now) {
    if (!settings.uses(Mechanism.EARLY_REFUSAL)) {
      return waiting.request.deadlineMillis() <= now;
    }
    double load =
        waiting.request.adapter().map(ref -> estimate.leastLoadMillis(ref, now)).orElse(0.0);
    double run = work.runMillis(waiting.request.costTokens());
    return now + load + run > waiting.request.deadlineMillis();
  }

  private long waitOf(Waiting waiting, long now) {
    return Admission.retryAfter(estimate.waitMillis(waiting.request, now));
  }

  private void fillBatch(List<AgentAction> actions, long now) {
    while (running.size() < settings.batch()) {
      Optional<Waiting> next = queue.next(startable());
      if (next.isEmpty()) {
        return;
      }
      actions.add(start(next.get(), now));
    }
  }

  private Predicate<Waiting> startable() {
    boolean longAllowed = longRunning() < longPlaces();
    return waiting ->
        !waiting.missesAdapter()
            && (draining.isEmpty() || !waiting.request.adapter().equals(draining))
            && (longAllowed || !work.isLong(waiting.request.costTokens()));
  }

  private long longRunning() {
    return running.values().stream().filter(one -> work.isLong(one.request.costTokens())).count();
  }

  private int longPlaces() {
    if (!settings.uses(Mechanism.LONG_LIMIT) || settings.batch() < SMALLEST_LIMITED_BATCH) {
      return Integer.MAX_VALUE;
    }
    return settings.batch() - Math.max(1, settings.batch() / LONG_LIMIT_PART);
  }

  private AgentAction start(Waiting waiting, long now) {
    queue.started(waiting);
    demand.remove(waiting);
    waiting.started(now);
    running.put(waiting.request.ticket(), waiting);
    waiting.request.adapter().ifPresent(residency::pin);
    return new AgentAction.Start(waiting.request.ticket(), waiting.stallMillis(now));
  }

  private Optional<AgentAction> planLoad(long now) {
    if (residency.loading().isPresent()) {
      return Optional.empty();
    }
    List<AdapterRef> order =
        demand.order(ref -> !residency.resident(ref) && failures.mayTry(ref, now), now);
    pace.wanted(!order.isEmpty(), now);
    for (AdapterRef adapter : order) {
      switch (residency.place(adapter, draining, ref -> demand.of(ref, now), now)) {
        case Placement.FreeSlot free -> {
          return askOrLoad(adapter, Optional.empty(), now);
        }
        case Placement.Evict evict -> {
          return askOrLoad(adapter, Optional.of(evict.victim()), now);
        }
        case Placement.NoRoom none -> {}
      }
    }
    drainFor(order.stream().findFirst(), now);
    return permit.withdraw();
  }

  private Optional<AgentAction> askOrLoad(
      AdapterRef adapter, Optional<AdapterRef> evict, long now) {
    if (!permit.mayLoad()) {
      return permit.ask(demand.payer(adapter).orElseThrow(), demand.of(adapter, now), now);
    }
    draining = Optional.empty();
    permit.used();
    demand.ordered(adapter, now);
    residency.loadStarted(adapter, evict, now);
    evict.ifPresent(
        victim -> demand.waitingFor(victim).forEach(waiting -> waiting.adapterMissing(now)));
    return Optional.of(new AgentAction.Load(adapter, evict));
  }

  private void drainFor(Optional<AdapterRef> newcomer, long now) {
    boolean overdue =
        settings.uses(Mechanism.DRAINING)
            && newcomer.isPresent()
            && demand.waitingFor(newcomer.get()).stream().anyMatch(one -> overtaken(one, now));
    if (!overdue) {
      draining = Optional.empty();
    } else if (draining.isEmpty() || !residency.resident(draining.get())) {
      draining =
          residency.toDrain(
              newcomer.get(),
              ref -> demand.of(ref, now),
              ref -> estimate.busyMillis(ref, now),
              now);
    }
  }

  private static boolean overtaken(Waiting waiting, long now) {
    return waiting.stallMillis(now) >= OVERTAKING_MILLIS * 2 * (1 - waiting.urgency());
  }
}

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
 * Decides for one endpoint which requests are started or refused and which adapters are loaded or
 * evicted.
 *
 * <p>One agent runs beside each endpoint and all requests to the endpoint pass through it, so this
 * class serialises all decisions for that endpoint and its pin counts need no further lock. It is a
 * plain state machine: the agent reports each event together with the time and then calls {@link
 * #poll} for the next actions. It opens no connections, starts no threads and reads no clock. Not
 * thread-safe.
 *
 * <h2>Life of a request</h2>
 *
 * <ol>
 *   <li>{@link #submit}: {@link QueueAdmission} refuses at once what cannot finish in time or finds
 *       no room in the queue. Everything else is queued.
 *   <li>{@link #poll} refuses queued requests that can no longer meet their deadline. The refusal
 *       is sent as soon as this is known and not held back until the deadline.
 *   <li>{@link #poll} fills the free batch slots with requests whose adapter is resident, in the
 *       order of {@link FairQueue}. Starting a request pins its adapter.
 *   <li>{@link #poll} starts at most one load, for the adapter that {@link LoadDemand} ranks first,
 *       into the adapter slot that {@link Residency} chooses.
 *   <li>{@link #finished} unpins the adapter. A started request is never refused.
 * </ol>
 *
 * <h2>Batch efficiency against load stalls</h2>
 *
 * <p>Requests whose adapter is resident overtake those that wait for a load: leaving a batch slot
 * empty for an adapter that is not resident helps nobody. But when every adapter slot holds an
 * adapter in use, always starting the next request on it keeps it pinned for ever, and a waiting
 * adapter never gets a slot. Example with one adapter slot and a batch of two: requests for A
 * arrive every 100 ms and run 300 ms, one for B arrives; A's pin count never reaches 0 and B is
 * never loaded.
 *
 * <p>Overtaking is therefore bounded. Once a request for the adapter with the highest demand has
 * waited that long, the resident adapter that is expected to become idle first is <em>drained</em>:
 * no further requests start on it until its pins are gone and it is evicted. Draining leaves batch
 * slots empty, which costs batch efficiency, and shortens a load stall; the service documents weigh
 * the two. The bound is {@value #OVERTAKING_LIMIT_MILLIS} ms × 2 × (1 − urgency): a service that
 * weighs only stalls drains at once, one that weighs both alike after the whole bound, and one that
 * weighs only batch efficiency after twice the bound. An adapter with more waiting demand than the
 * new adapter is not drained; demand increases with waiting time, so the new adapter is loaded
 * eventually.
 *
 * <h2>Loads</h2>
 *
 * <p>One load is in flight at a time. The weight store serves one load at full speed, so a second
 * one would slow down the first, and demand may have changed by the time it starts. If the settings
 * require permits, no load starts without one; the permit request carries the demand, so the permit
 * holder can serve the adapter with the highest demand of all agents first. A request whose
 * deadline leaves no time for the load and the run is refused before the load is chosen, so no load
 * is started for requests that are all lost.
 *
 * <p>After {@link #endpointRestarted} no adapter is resident and every queued request waits for a
 * load; the same load order rewarms the endpoint, highest demand first and one at a time.
 *
 * <h2>Reaction time and stability</h2>
 *
 * <p>Starts and refusals follow each event at once. Loads follow demand with the next load, so
 * after a shift in popularity the weight store's rate is the limit. Two rules keep two adapters
 * from evicting each other: the minimum residency time, and the rule that waiting demand protects a
 * resident adapter. Draining is delayed by its bound. Run time and load time estimates are means
 * over tens of requests and a few loads, within fixed limits.
 *
 * <h2>Rejected alternatives</h2>
 *
 * <ul>
 *   <li>Preempting a running request for a fairer share: the tokens it generated are wasted, and a
 *       request that must run at most once cannot be started again.
 *   <li>Several concurrent loads: see above.
 *   <li>Guaranteeing each partner a part of the adapter slots, in addition to its share of the
 *       batch and of the load permits: with one partner flooding a pool this changed the other's
 *       share by less than the spread of the measurement, and cost batch efficiency.
 *   <li>Keeping a request that will miss its deadline in the hope that others are cancelled: its
 *       caller could have gone elsewhere.
 * </ul>
 */
public final class AgentScheduler {

  private static final long OVERTAKING_LIMIT_MILLIS = 2_000;

  /** In a batch with fewer slots, long requests may use all of them. */
  private static final int MIN_BATCH_FOR_LONG_LIMIT = 4;

  /** One batch slot in this many is closed to long requests. */
  private static final int LONG_LIMIT_DIVISOR = 8;

  /** A request that hangs is charged at most this many times its expected cost. */
  private static final double MAX_CHARGE_FACTOR = 4;

  /**
   * How long a leaving endpoint may still start queued requests: half of the two seconds after
   * which no new work may reach its engine. The other half covers the delivery to the engine.
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
  private final RunTimeEstimate runTimeEstimate;
  private final WaitEstimate waitEstimate;
  private final QueueAdmission admission;
  private final Map<Long, ScheduledRequest> running = new HashMap<>();
  private final List<AgentAction> refusals = new ArrayList<>();

  /** Before this time no queued request can become unable to meet its deadline. */
  private long nextDeadlineScanMillis = Long.MIN_VALUE;

  private long lastDeadlineScanMillis = Long.MIN_VALUE;

  private final DrainWindow drainWindow = new DrainWindow(LEAVING_START_MILLIS);

  /** The adapter that is drained: no further requests start on it until it is evicted. */
  private Optional<AdapterRef> draining = Optional.empty();

  /**
   * Creates a scheduler for an endpoint without resident adapters.
   *
   * @param settings the endpoint's capacity and limits
   */
  public AgentScheduler(SchedulerSettings settings) {
    this.settings = settings;
    this.queue = new FairQueue(settings);
    this.residency = new Residency(settings);
    this.demand = new LoadDemand(settings);
    this.permit = new LoadPermit(settings);
    this.pace = new LoadPace(settings);
    this.runTimeEstimate = new RunTimeEstimate(settings);
    this.waitEstimate =
        new WaitEstimate(
            settings, queue, residency, runTimeEstimate, demand, pace, running.values());
    this.admission = new QueueAdmission(settings, queue, waitEstimate, runTimeEstimate, failures);
  }

  /**
   * Submits a request. The next {@link #poll} reports whether it is refused.
   *
   * @param request the request
   * @param now milliseconds
   */
  public void submit(QueuedRequest request, long now) {
    runTimeEstimate.requestArrived(request.costTokens());
    switch (admission.decide(request, now)) {
      case QueueAdmissionDecision.Admit admit -> enqueue(request, now);
      case QueueAdmissionDecision.Displace displace -> {
        refuse(displace.victim(), FailureType.QUEUE_FULL, retryAfterMillis(displace.victim(), now));
        enqueue(request, now);
      }
      case QueueAdmissionDecision.Refuse refuse ->
          refusals.add(
              new AgentAction.Refuse(request.ticket(), refuse.type(), refuse.retryAfterMillis()));
    }
  }

  /**
   * Cancels a request, queued or running.
   *
   * @param ticket the request
   * @param now milliseconds
   * @return whether it had been started
   */
  public boolean cancel(long ticket, long now) {
    queue.find(ticket).ifPresent(this::dequeue);
    refusals.removeIf(
        action -> action instanceof AgentAction.Refuse refuse && refuse.ticket() == ticket);
    ScheduledRequest started = running.remove(ticket);
    if (started != null) {
      release(started, now);
    }
    return started != null;
  }

  /**
   * Records that a started request ended, whether it succeeded or not.
   *
   * @param ticket the request
   * @param now milliseconds
   */
  public void finished(long ticket, long now) {
    ScheduledRequest ended = running.remove(ticket);
    if (ended != null) {
      runTimeEstimate.requestEnded(ended.request.costTokens(), now - ended.startedMillis());
      release(ended, now);
    }
  }

  /**
   * Records that a load succeeded.
   *
   * @param adapter the adapter that was loaded
   * @param now milliseconds
   */
  public void loaded(AdapterRef adapter, long now) {
    pace.loadEnded(now);
    failures.succeeded(adapter);
    residency.loaded(adapter, now);
    demand.waitingFor(adapter).forEach(waiting -> waiting.adapterPresent(now));
  }

  /**
   * Records that a load failed; the eviction for it has happened nevertheless. After too many
   * failures in a row the requests for the adapter are refused, so that their entries can send them
   * elsewhere.
   *
   * @param adapter the adapter whose load failed
   * @param now milliseconds
   */
  public void loadFailed(AdapterRef adapter, long now) {
    pace.loadEnded(now);
    residency.loadFailed(adapter);
    failures.failed(adapter, now);
    OptionalLong refused = failures.refusedForMillis(adapter, now);
    if (refused.isPresent()) {
      List.copyOf(demand.waitingFor(adapter))
          .forEach(waiting -> refuse(waiting, FailureType.LOAD_FAILED, refused.getAsLong()));
    }
  }

  /**
   * Records that the endpoint restarted: no adapter is resident, and the requests that ran on it
   * are lost. The agent responds to the lost requests; {@link #finished} has no effect for them.
   *
   * @param now milliseconds
   */
  public void endpointRestarted(long now) {
    running.keySet().forEach(ticket -> queue.ended(ticket, 0));
    running.clear();
    residency.clear();
    draining = Optional.empty();
    updateAdapterStates(now);
  }

  /**
   * Replaces the known resident adapters by those that the endpoint reports.
   *
   * @param resident the adapters that the endpoint reports as loaded
   * @param now milliseconds
   */
  public void residencyObserved(Set<AdapterRef> resident, long now) {
    residency.replaceResidents(resident, now);
    updateAdapterStates(now);
  }

  /**
   * Records that a permit for one load was granted.
   *
   * @param now milliseconds
   */
  public void permitGranted(@SuppressWarnings("unused") long now) {
    permit.granted();
  }

  /**
   * Records that the endpoint is leaving. A request that stayed queued for a load or a batch slot
   * would be started seconds after the endpoint was reported as taking no new work, and would be
   * lost if the endpoint is then stopped. Requests that have not started shortly after this call
   * are therefore refused as not run, and their entries send them elsewhere.
   *
   * @param now milliseconds
   */
  public void beginDrain(long now) {
    drainWindow.leave(now);
  }

  /**
   * Returns whether requests may still be started on the endpoint.
   *
   * @param now milliseconds
   * @return false soon after {@link #beginDrain}
   */
  public boolean mayStart(long now) {
    return drainWindow.open(now);
  }

  /**
   * Returns the next actions.
   *
   * @param now milliseconds
   * @return the actions, in the order in which they must be carried out
   */
  public List<AgentAction> poll(long now) {
    if (!mayStart(now)) {
      List.copyOf(queue.all()).forEach(one -> refuse(one, FailureType.ENDPOINT_LEAVING, 0));
    }
    refuseLateRequests(now);
    List<AgentAction> actions = new ArrayList<>(refusals);
    refusals.clear();
    fillBatch(actions, now);
    planLoad(now).ifPresent(actions::add);
    return actions;
  }

  /**
   * Returns when {@link #poll} must be called again if no event occurs before.
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
   * Returns the load of the endpoint as it is reported to the entries.
   *
   * @param now milliseconds
   * @return the load report
   */
  public EndpointLoad endpointLoad(long now) {
    return new EndpointLoad(
        running.size(),
        queue.size(),
        settings.batch(),
        settings.slots(),
        Math.round(waitEstimate.newCallerSlotWaitMillis(now)),
        Math.round(waitEstimate.newAdapterLoadWaitMillis()),
        residency.residents());
  }

  private void enqueue(QueuedRequest request, long now) {
    ScheduledRequest added = queue.add(request, runTimeEstimate.runMillis(request.costTokens()));
    demand.add(added);
    nextDeadlineScanMillis = Math.min(nextDeadlineScanMillis, latestLoadStartMillis(request));
    request
        .adapter()
        .ifPresent(
            ref -> {
              residency.recordRequest(ref, added.urgency(), now);
              updateAdapterState(added, ref, now);
            });
  }

  private void dequeue(ScheduledRequest waiting) {
    queue.remove(waiting);
    demand.remove(waiting);
  }

  private void refuse(ScheduledRequest waiting, FailureType type, long retryAfterMillis) {
    dequeue(waiting);
    refusals.add(new AgentAction.Refuse(waiting.request.ticket(), type, retryAfterMillis));
  }

  private void release(ScheduledRequest ended, long now) {
    double expected = Math.max(1, runTimeEstimate.runMillis(ended.request.costTokens()));
    double ratio = Math.max(0, now - ended.startedMillis()) / expected;
    queue.ended(
        ended.request.ticket(),
        ended.request.costTokens() * (Math.min(ratio, MAX_CHARGE_FACTOR) - 1));
    ended.request.adapter().ifPresent(residency::unpin);
  }

  private void updateAdapterStates(long now) {
    queue
        .all()
        .forEach(
            waiting ->
                waiting.request.adapter().ifPresent(ref -> updateAdapterState(waiting, ref, now)));
  }

  private void updateAdapterState(ScheduledRequest waiting, AdapterRef adapter, long now) {
    if (residency.resident(adapter)) {
      waiting.adapterPresent(now);
    } else {
      waiting.adapterMissing(now);
    }
  }

  private void refuseLateRequests(long now) {
    if (now < nextDeadlineScanMillis && now >= lastDeadlineScanMillis) {
      return;
    }
    lastDeadlineScanMillis = now;
    nextDeadlineScanMillis = now + WAITING_POLL_MILLIS;
    queue
        .all()
        .forEach(
            one ->
                nextDeadlineScanMillis =
                    Math.min(nextDeadlineScanMillis, latestLoadStartMillis(one.request)));
    List<ScheduledRequest> late =
        queue.all().stream().filter(one -> missesDeadline(one, now)).toList();
    late.forEach(one -> refuse(one, FailureType.DEADLINE_TOO_NEAR, retryAfterMillis(one, now)));
  }

  /** Returns the latest time at which a load can start if a request is to finish in time. */
  private long latestLoadStartMillis(QueuedRequest request) {
    double run = runTimeEstimate.runMillis(request.costTokens());
    return request.deadlineMillis() - Math.round(run) - settings.loadMillis();
  }

  private boolean missesDeadline(ScheduledRequest waiting, long now) {
    if (!settings.uses(SchedulerFeature.EARLY_REFUSAL)) {
      return waiting.request.deadlineMillis() <= now;
    }
    double load =
        waiting.request.adapter().map(ref -> waitEstimate.minLoadMillis(ref, now)).orElse(0.0);
    double run = runTimeEstimate.runMillis(waiting.request.costTokens());
    return now + load + run > waiting.request.deadlineMillis();
  }

  private long retryAfterMillis(ScheduledRequest waiting, long now) {
    return QueueAdmission.retryAfter(waitEstimate.waitMillis(waiting.request, now));
  }

  private void fillBatch(List<AgentAction> actions, long now) {
    while (running.size() < settings.batch()) {
      Optional<ScheduledRequest> next = queue.next(startable());
      if (next.isEmpty()) {
        return;
      }
      actions.add(start(next.get(), now));
    }
  }

  private Predicate<ScheduledRequest> startable() {
    boolean longAllowed = runningLongRequests() < longRequestLimit();
    return waiting ->
        !waiting.awaitsAdapter()
            && (draining.isEmpty() || !waiting.request.adapter().equals(draining))
            && (longAllowed || !runTimeEstimate.isLong(waiting.request.costTokens()));
  }

  private long runningLongRequests() {
    return running.values().stream()
        .filter(one -> runTimeEstimate.isLong(one.request.costTokens()))
        .count();
  }

  private int longRequestLimit() {
    if (!settings.uses(SchedulerFeature.LONG_LIMIT)
        || settings.batch() < MIN_BATCH_FOR_LONG_LIMIT) {
      return Integer.MAX_VALUE;
    }
    return settings.batch() - Math.max(1, settings.batch() / LONG_LIMIT_DIVISOR);
  }

  private AgentAction start(ScheduledRequest waiting, long now) {
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
    pace.loadWanted(!order.isEmpty(), now);
    for (AdapterRef adapter : order) {
      switch (residency.choosePlacement(
          adapter, draining, ref -> demand.demandFor(ref, now), now)) {
        case Placement.FreeSlot free -> {
          return loadOrRequestPermit(adapter, Optional.empty(), now);
        }
        case Placement.Evict evict -> {
          return loadOrRequestPermit(adapter, Optional.of(evict.victim()), now);
        }
        case Placement.NoRoom none -> {}
      }
    }
    drainFor(order.stream().findFirst(), now);
    return permit.withdraw();
  }

  private Optional<AgentAction> loadOrRequestPermit(
      AdapterRef adapter, Optional<AdapterRef> evict, long now) {
    if (!permit.mayLoad()) {
      return permit.request(
          demand.chargedPartner(adapter).orElseThrow(), demand.demandFor(adapter, now), now);
    }
    draining = Optional.empty();
    permit.consume();
    demand.loadStarted(adapter, now);
    residency.loadStarted(adapter, evict, now);
    evict.ifPresent(
        victim -> demand.waitingFor(victim).forEach(waiting -> waiting.adapterMissing(now)));
    return Optional.of(new AgentAction.Load(adapter, evict));
  }

  private void drainFor(Optional<AdapterRef> newAdapter, long now) {
    boolean overdue =
        settings.uses(SchedulerFeature.DRAINING)
            && newAdapter.isPresent()
            && demand.waitingFor(newAdapter.get()).stream()
                .anyMatch(one -> overtakenTooLong(one, now));
    if (!overdue) {
      draining = Optional.empty();
    } else if (draining.isEmpty() || !residency.resident(draining.get())) {
      draining =
          residency.chooseToDrain(
              newAdapter.get(),
              ref -> demand.demandFor(ref, now),
              ref -> waitEstimate.busyMillis(ref, now),
              now);
    }
  }

  private static boolean overtakenTooLong(ScheduledRequest waiting, long now) {
    return waiting.stallMillis(now) >= OVERTAKING_LIMIT_MILLIS * 2 * (1 - waiting.urgency());
  }
}

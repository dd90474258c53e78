package org.hornbeamusher.scheduling;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Set;
import java.util.function.Predicate;
import org.hornbeamusher.ids.AdapterRef;

/**
 * Simulated endpoint behind the scheduler under test, with an event-driven clock. It checks every
 * action against its own state and records the outcome of each request.
 */
final class FakeEndpoint {

  /** The outcome of a request. */
  record Result(
      QueuedRequest request, AgentAction action, long answeredMillis, long finishedMillis) {

    boolean inTime() {
      return action instanceof AgentAction.Start
          && finishedMillis > 0
          && finishedMillis <= request.deadlineMillis();
    }

    boolean refused() {
      return action instanceof AgentAction.Refuse;
    }

    long stall() {
      return ((AgentAction.Start) action).loadStallMillis();
    }
  }

  private record Event(long at, long sequence, Runnable what) {}

  final SchedulerSettings settings;
  final AgentScheduler scheduler;
  final Map<Long, Result> results = new HashMap<>();
  final List<AdapterRef> loads = new ArrayList<>();
  final List<Integer> runningSamples = new ArrayList<>();
  final Set<AdapterRef> resident = new HashSet<>();
  final Map<AdapterRef, Integer> inUse = new HashMap<>();
  Predicate<AdapterRef> failing = adapter -> false;

  private final PriorityQueue<Event> events =
      new PriorityQueue<>(
          java.util.Comparator.comparingLong(Event::at).thenComparingLong(Event::sequence));
  private final Map<Long, QueuedRequest> requests = new HashMap<>();
  private final Set<Long> running = new HashSet<>();
  private AdapterRef loading;
  private long generation;
  private long sequence;
  private long nextTicket = 1;
  private long now;

  FakeEndpoint(SchedulerSettings settings) {
    this.settings = settings;
    this.scheduler = new AgentScheduler(settings);
  }

  static SchedulerSettings settings(int slots, int batch) {
    return new SchedulerSettings(slots, batch, 10_000, 1_000, 1_000, 500, false, Map.of());
  }

  long now() {
    return now;
  }

  int runningCount() {
    return running.size();
  }

  /** Submits a request now. */
  long submit(RequestBuilder request) {
    long ticket = nextTicket++;
    QueuedRequest arriving = request.build(ticket, now);
    requests.put(ticket, arriving);
    scheduler.submit(arriving, now);
    poll();
    return ticket;
  }

  /** Submits a request at a later time. */
  void submitAt(long at, RequestBuilder request) {
    schedule(at, () -> submit(request));
  }

  /** Submits requests at equal intervals. */
  void every(long gap, long from, long to, RequestBuilder request) {
    for (long at = from; at < to; at += gap) {
      submitAt(at, request);
    }
  }

  void schedule(long at, Runnable what) {
    events.add(new Event(at, sequence++, what));
  }

  void cancel(long ticket) {
    boolean started = scheduler.cancel(ticket, now);
    if (running.contains(ticket) != started) {
      throw new AssertionError("cancel of " + ticket + " returned started=" + started);
    }
    if (started) {
      end(ticket);
    }
    poll();
  }

  /** Starts the drain of the endpoint. */
  void leave() {
    scheduler.beginDrain(now);
    poll();
  }

  /** Restarts the engine: running requests and loaded adapters are lost. */
  void restart() {
    generation++;
    running.clear();
    inUse.clear();
    resident.clear();
    loading = null;
    scheduler.endpointRestarted(now);
    poll();
  }

  /** Advances the clock to {@code end} and runs every event that is due before it. */
  void runUntil(long end) {
    while (now < end) {
      long wake = Math.min(end, scheduler.nextPollMillis(now));
      if (wake <= now) {
        throw new AssertionError("nextPollMillis does not advance");
      }
      if (!events.isEmpty() && events.peek().at <= wake) {
        Event event = events.poll();
        now = Math.max(now, event.at);
        event.what.run();
      } else {
        now = wake;
        poll();
      }
      runningSamples.add(running.size());
    }
  }

  /** Returns the results of the requests that satisfy a condition. */
  List<Result> results(Predicate<QueuedRequest> which) {
    return results.values().stream().filter(result -> which.test(result.request)).toList();
  }

  long inTime(Predicate<QueuedRequest> which) {
    return results(which).stream().filter(Result::inTime).count();
  }

  void poll() {
    for (AgentAction action : scheduler.poll(now)) {
      switch (action) {
        case AgentAction.Start start -> start(start);
        case AgentAction.Refuse refuse -> recordAction(refuse.ticket(), refuse);
        case AgentAction.Load load -> load(load);
        case AgentAction.RequestPermit ask -> {}
      }
    }
  }

  private void start(AgentAction.Start start) {
    recordAction(start.ticket(), start);
    QueuedRequest request = requests.get(start.ticket());
    request
        .adapter()
        .ifPresent(
            ref -> {
              require(
                  resident.contains(ref),
                  "request started while its adapter was not resident: " + ref);
              inUse.merge(ref, 1, Integer::sum);
            });
    running.add(start.ticket());
    require(running.size() <= settings.batch(), "batch limit exceeded");
    long run = Math.round(request.costTokens() * 1_000 / settings.tokensPerSecond());
    long startedIn = generation;
    schedule(
        now + run,
        () -> {
          if (generation == startedIn && running.contains(start.ticket())) {
            end(start.ticket());
            results.computeIfPresent(
                start.ticket(),
                (key, old) -> new Result(old.request, old.action, old.answeredMillis, now));
            scheduler.finished(start.ticket(), now);
            poll();
          }
        });
  }

  private void end(long ticket) {
    running.remove(ticket);
    requests.get(ticket).adapter().ifPresent(ref -> inUse.merge(ref, -1, Integer::sum));
  }

  private void load(AgentAction.Load load) {
    require(loading == null, "load started while another was in progress");
    require(!resident.contains(load.adapter()), "load of an adapter that is already resident");
    load.evict()
        .ifPresent(
            victim -> {
              require(
                  inUse.getOrDefault(victim, 0) == 0, "eviction of an adapter in use: " + victim);
              require(
                  resident.remove(victim),
                  "eviction of an adapter that is not resident: " + victim);
            });
    require(resident.size() < settings.slots(), "load without a free slot");
    loading = load.adapter();
    loads.add(load.adapter());
    long startedIn = generation;
    schedule(
        now + settings.loadMillis(),
        () -> {
          if (generation == startedIn) {
            endLoad(load.adapter());
          }
        });
  }

  private void endLoad(AdapterRef adapter) {
    loading = null;
    if (failing.test(adapter)) {
      scheduler.loadFailed(adapter, now);
    } else {
      resident.add(adapter);
      scheduler.loaded(adapter, now);
    }
    poll();
  }

  private void recordAction(long ticket, AgentAction action) {
    Result earlier = results.put(ticket, new Result(requests.get(ticket), action, now, 0));
    require(earlier == null, "request answered twice: " + ticket);
  }

  private static void require(boolean condition, String otherwise) {
    if (!condition) {
      throw new AssertionError(otherwise);
    }
  }
}

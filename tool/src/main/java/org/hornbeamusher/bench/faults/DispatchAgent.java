package org.hornbeamusher.bench.faults;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.zip.CRC32C;
import org.hornbeamusher.documents.ServiceDocument.CostWeights;
import org.hornbeamusher.ids.AdapterRef;
import org.hornbeamusher.ids.CallerId;
import org.hornbeamusher.ids.PartnerId;
import org.hornbeamusher.ids.ProcessIncarnation;
import org.hornbeamusher.membership.HeartbeatMonitor;
import org.hornbeamusher.scheduling.AgentAction;
import org.hornbeamusher.scheduling.AgentScheduler;
import org.hornbeamusher.scheduling.QueuedRequest;
import org.hornbeamusher.scheduling.SchedulerSettings;

/** A simulated agent process: the real scheduler in front of a fake engine. */
final class DispatchAgent {

  /** Time after the start of the drain from which an endpoint must receive no requests. */
  static final long LEAVING_GRACE_MILLIS = 2_000;

  private static final SchedulerSettings SETTINGS =
      new SchedulerSettings(2, 2, 20, 200, 500, 300, false, Map.of());
  private static final long NEVER = Long.MAX_VALUE;

  private final DispatchHistory history;
  private final Timeline timeline;
  private final FaultInjector injector;
  private final SimulatedProcess process;
  private final FakeEngine engine;
  private final AgentScheduler scheduler = new AgentScheduler(SETTINGS);
  private final Map<Long, Attempt> attempts = new HashMap<>();
  private final Map<FaultyConnection, HeartbeatMonitor> links = new HashMap<>();
  private final Set<Long> seen = new HashSet<>();
  private final String address;
  private final ProcessIncarnation incarnation;
  private long leavingSince = NEVER;
  private long lastTicket;
  private int engineIncarnation;
  private boolean loading;

  private static final class Attempt {

    private final FaultyConnection link;
    private final long id;
    private final DispatchRequest request;
    private final long arrived;
    private boolean started;

    Attempt(FaultyConnection link, long id, DispatchRequest request, long arrived) {
      this.link = link;
      this.id = id;
      this.request = request;
      this.arrived = arrived;
    }
  }

  DispatchAgent(DispatchHistory history, String address, long incarnation) {
    this.history = history;
    this.timeline = history.timeline();
    this.injector = history.injector();
    this.process = new SimulatedProcess(timeline);
    this.engine = new FakeEngine(timeline, injector, history.defect());
    this.address = address;
    this.incarnation = new ProcessIncarnation(incarnation);
    timeline.after(100, this::tick);
  }

  SimulatedProcess process() {
    return process;
  }

  String address() {
    return address;
  }

  ProcessIncarnation incarnation() {
    return incarnation;
  }

  String instance() {
    return "i-" + incarnation.value();
  }

  boolean leaving() {
    return leavingSince != NEVER;
  }

  long leavingSince() {
    return leavingSince;
  }

  void connectionOpened(FaultyConnection link) {
    links.put(link, new HeartbeatMonitor(1_000, 3, timeline.now()));
    link.sendControlToEntry(() -> link.entry().helloReceived(link));
    if (leaving()) {
      link.sendControlToEntry(() -> link.entry().leavingReceived(link));
    }
  }

  void connectionClosed(FaultyConnection link) {
    links.remove(link);
    List<Long> orphans = new ArrayList<>();
    attempts.forEach(
        (ticket, attempt) -> {
          if (attempt.link == link) {
            orphans.add(ticket);
          }
        });
    orphans.forEach(this::cancel);
    poll();
  }

  void messageReceived(FaultyConnection link) {
    HeartbeatMonitor monitor = links.get(link);
    if (monitor != null) {
      monitor.received(timeline.now());
    }
  }

  void dispatchReceived(FaultyConnection link, long attempt, DispatchRequest request) {
    messageReceived(link);
    if (!links.containsKey(link) || !seen.add(attempt)) {
      return;
    }
    if (leaving() && history.defect() != InjectedDefect.LEAVING_IGNORED) {
      link.sendToEntry(() -> link.entry().failureReceived(link, attempt));
      return;
    }
    long ticket = ++lastTicket;
    attempts.put(ticket, new Attempt(link, attempt, request, timeline.now()));
    scheduler.submit(queued(ticket, request), timeline.now());
    poll();
  }

  /** Starts the drain of the agent: the platform has announced that its instance is leaving. */
  void drain() {
    leavingSince = timeline.now();
    links
        .keySet()
        .forEach(link -> link.sendControlToEntry(() -> link.entry().leavingReceived(link)));
  }

  void cancelReceived(FaultyConnection link, long attempt) {
    List<Long> tickets =
        attempts.entrySet().stream()
            .filter(entry -> entry.getValue().link == link && entry.getValue().id == attempt)
            .map(Map.Entry::getKey)
            .toList();
    tickets.forEach(this::cancel);
    poll();
  }

  /** Crashes the engine; the agent notices it after a random delay. */
  void crashEngine() {
    engine.crash();
    timeline.after(injector.between(10, 3_000), () -> process.run(this::observeEngine));
  }

  private void observeEngine() {
    if (engine.incarnation() != engineIncarnation) {
      engineIncarnation = engine.incarnation();
      loading = false;
      scheduler.endpointRestarted(timeline.now());
      List<Long> lost =
          attempts.entrySet().stream()
              .filter(entry -> entry.getValue().started && !engine.runs(entry.getKey()))
              .map(Map.Entry::getKey)
              .toList();
      lost.forEach(this::fail);
    }
    if (!loading) {
      scheduler.residencyObserved(engine.resident(), timeline.now());
    }
    poll();
  }

  private void tick() {
    process.run(this::runTick);
    if (process.alive()) {
      timeline.after(100, this::tick);
    }
  }

  private void runTick() {
    poll();
    boolean second = timeline.now() / 100 % 10 == 0;
    if (second) {
      for (FaultyConnection link : List.copyOf(links.keySet())) {
        link.sendControlToEntry(() -> link.entry().messageReceived(link));
        if (links.get(link).checkTimedOut(timeline.now())) {
          connectionClosed(link);
          link.close();
        }
      }
    }
    boolean drained =
        attempts.isEmpty() && leaving() && timeline.now() > leavingSince + LEAVING_GRACE_MILLIS;
    if (drained) {
      history.drainCompleted(this);
    }
  }

  private void poll() {
    for (AgentAction action : scheduler.poll(timeline.now())) {
      switch (action) {
        case AgentAction.Start start -> start(start.ticket());
        case AgentAction.Refuse refuse -> fail(refuse.ticket());
        case AgentAction.Load load -> load(load);
        case AgentAction.RequestPermit ask -> scheduler.permitGranted(timeline.now());
      }
    }
  }

  private void load(AgentAction.Load load) {
    Optional<AdapterRef> evict = load.evict();
    if (history.defect() == InjectedDefect.PIN_IGNORED) {
      evict = engine.pinned().or(load::evict);
    }
    loading = true;
    engine.load(
        load.adapter(), evict, loaded -> process.run(() -> loadEnded(load.adapter(), loaded)));
  }

  /**
   * Processes the end of a load. A restarted engine may already have executed the load order before
   * the agent notices the restart, so the restart is processed first. In the opposite order a
   * request could start on the loaded adapter and then lose its pin, while it runs, when the
   * restart is processed.
   */
  private void loadEnded(AdapterRef adapter, boolean loaded) {
    boolean late = history.defect() == InjectedDefect.RESTART_NOTICED_LATE;
    if (!late && engine.incarnation() != engineIncarnation) {
      observeEngine();
    }
    loading = false;
    if (loaded) {
      scheduler.loaded(adapter, timeline.now());
    } else {
      scheduler.loadFailed(adapter, timeline.now());
    }
    poll();
  }

  private void start(long ticket) {
    Attempt attempt = attempts.get(ticket);
    injector.check(
        Invariant.WORK_FOR_LEAVING,
        !leaving() || attempt.arrived <= leavingSince + LEAVING_GRACE_MILLIS,
        address + " started a request that arrived after the grace period of its drain");
    Optional<AdapterRef> used = engine.start(ticket, attempt.request.adapter());
    if (used.isEmpty()) {
      fail(ticket);
      timeline.after(1, () -> process.run(this::observeEngine));
      return;
    }
    attempt.started = true;
    produce(ticket, attempt, used.get(), 0, new CRC32C());
  }

  /** Generates the response part by part; the text of each part names the adapter in use. */
  private void produce(long ticket, Attempt attempt, AdapterRef used, int part, CRC32C checksum) {
    timeline.after(
        injector.between(5, 120),
        () -> {
          if (engine.runs(ticket)) {
            process.run(() -> sendPart(ticket, attempt, used, part, checksum));
          }
        });
  }

  private void sendPart(long ticket, Attempt attempt, AdapterRef used, int part, CRC32C checksum) {
    if (attempts.get(ticket) != attempt) {
      return;
    }
    if (part == attempt.request.parts()) {
      long sum = checksum.getValue();
      attempt.link.sendToEntry(
          () -> attempt.link.entry().responseEndReceived(attempt.link, attempt.id, part, sum));
      end(ticket);
      poll();
      return;
    }
    byte[] bytes = attempt.request.part(used, part).getBytes(StandardCharsets.UTF_8);
    checksum.update(bytes);
    attempt.link.sendToEntry(
        () -> attempt.link.entry().partReceived(attempt.link, attempt.id, part, bytes));
    produce(ticket, attempt, used, part + 1, checksum);
  }

  private void fail(long ticket) {
    Attempt attempt = attempts.get(ticket);
    end(ticket);
    attempt.link.sendToEntry(() -> attempt.link.entry().failureReceived(attempt.link, attempt.id));
  }

  private void end(long ticket) {
    attempts.remove(ticket);
    engine.end(ticket);
    scheduler.finished(ticket, timeline.now());
  }

  private void cancel(long ticket) {
    attempts.remove(ticket);
    engine.end(ticket);
    scheduler.cancel(ticket, timeline.now());
  }

  private QueuedRequest queued(long ticket, DispatchRequest request) {
    return new QueuedRequest(
        ticket,
        Optional.of(request.adapter()),
        new PartnerId("zarqa"),
        request.adapter().service(),
        new CallerId("caller"),
        50,
        timeline.now(),
        request.deadlineMillis(),
        new CostWeights(1, 1),
        1,
        1,
        20);
  }
}

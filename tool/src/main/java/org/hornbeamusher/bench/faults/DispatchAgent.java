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

/** An agent process: the real scheduler before a fake engine. */
final class DispatchAgent {

  /** After which an endpoint that leaves must not be given anything. */
  static final long LEAVING_GRACE_MILLIS = 2_000;

  private static final SchedulerSettings SETTINGS =
      new SchedulerSettings(2, 2, 20, 200, 500, 300, false, Map.of());
  private static final long NEVER = Long.MAX_VALUE;

  private final DispatchHistory history;
  private final Timeline timeline;
  private final Chaos chaos;
  private final Process process;
  private final EngineFake engine;
  private final AgentScheduler scheduler = new AgentScheduler(SETTINGS);
  private final Map<Long, Attempt> attempts = new HashMap<>();
  private final Map<Link, HeartbeatMonitor> links = new HashMap<>();
  private final Set<Long> seen = new HashSet<>();
  private final String address;
  private final ProcessIncarnation incarnation;
  private long leavingSince = NEVER;
  private long lastTicket;
  private int engineIncarnation;
  private boolean loading;

  private static final class Attempt {

    private final Link link;
    private final long id;
    private final DispatchRequest request;
    private final long arrived;
    private boolean started;

    Attempt(Link link, long id, DispatchRequest request, long arrived) {
      this.link = link;
      this.id = id;
      this.request = request;
      this.arrived = arrived;
    }
  }

  DispatchAgent(DispatchHistory history, String address, long incarnation) {
    this.history = history;
    this.timeline = history.timeline();
    this.chaos = history.chaos();
    this.process = new Process(timeline);
    this.engine = new EngineFake(timeline, chaos, history.breakage());
    this.address = address;
    this.incarnation = new ProcessIncarnation(incarnation);
    timeline.after(100, this::tick);
  }

  Process process() {
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

  void opened(Link link) {
    links.put(link, new HeartbeatMonitor(1_000, 3, timeline.now()));
    link.tellEntry(() -> link.entry().introduced(link));
    if (leaving()) {
      link.tellEntry(() -> link.entry().leaving(link));
    }
  }

  void closed(Link link) {
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

  void heard(Link link) {
    HeartbeatMonitor monitor = links.get(link);
    if (monitor != null) {
      monitor.received(timeline.now());
    }
  }

  void dispatched(Link link, long attempt, DispatchRequest request) {
    heard(link);
    if (!links.containsKey(link) || !seen.add(attempt)) {
      return;
    }
    if (leaving() && history.breakage() != Breakage.LEAVING_IGNORED) {
      link.toEntry(() -> link.entry().failed(link, attempt));
      return;
    }
    long ticket = ++lastTicket;
    attempts.put(ticket, new Attempt(link, attempt, request, timeline.now()));
    scheduler.submit(queued(ticket, request), timeline.now());
    poll();
  }

  /** The platform tells the agent that its instance is leaving. */
  void drain() {
    leavingSince = timeline.now();
    links.keySet().forEach(link -> link.tellEntry(() -> link.entry().leaving(link)));
  }

  void cancelled(Link link, long attempt) {
    List<Long> tickets =
        attempts.entrySet().stream()
            .filter(entry -> entry.getValue().link == link && entry.getValue().id == attempt)
            .map(Map.Entry::getKey)
            .toList();
    tickets.forEach(this::cancel);
    poll();
  }

  /** The engine loses everything; its agent finds out a little later. */
  void crashEngine() {
    engine.crash();
    timeline.after(chaos.between(10, 3_000), () -> process.run(this::observeEngine));
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
    process.run(this::beat);
    if (process.alive()) {
      timeline.after(100, this::tick);
    }
  }

  private void beat() {
    poll();
    boolean second = timeline.now() / 100 % 10 == 0;
    if (second) {
      for (Link link : List.copyOf(links.keySet())) {
        link.tellEntry(() -> link.entry().heard(link));
        if (links.get(link).checkTimedOut(timeline.now())) {
          closed(link);
          link.close();
        }
      }
    }
    boolean drained =
        attempts.isEmpty() && leaving() && timeline.now() > leavingSince + LEAVING_GRACE_MILLIS;
    if (drained) {
      history.exited(this);
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
    if (history.breakage() == Breakage.PIN_IGNORED) {
      evict = engine.pinned().or(load::evict);
    }
    loading = true;
    engine.load(
        load.adapter(), evict, loaded -> process.run(() -> loadEnded(load.adapter(), loaded)));
  }

  /**
   * Takes in the end of a load. An engine that restarted may have taken the order already, before
   * its agent noticed. Were the load taken in first, a request started on it, and the restart taken
   * in after that, the request would lose its pin while it runs.
   */
  private void loadEnded(AdapterRef adapter, boolean loaded) {
    boolean late = history.breakage() == Breakage.RESTART_NOTICED_LATE;
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
    chaos.check(
        Check.WORK_FOR_LEAVING,
        !leaving() || attempt.arrived <= leavingSince + LEAVING_GRACE_MILLIS,
        address + " leaves and was given a request");
    Optional<AdapterRef> used = engine.start(ticket, attempt.request.adapter());
    if (used.isEmpty()) {
      fail(ticket);
      timeline.after(1, () -> process.run(this::observeEngine));
      return;
    }
    attempt.started = true;
    produce(ticket, attempt, used.get(), 0, new CRC32C());
  }

  /** The engine generates one part after the other; what it says shows what it runs on. */
  private void produce(long ticket, Attempt attempt, AdapterRef used, int part, CRC32C checksum) {
    timeline.after(
        chaos.between(5, 120),
        () -> {
          if (engine.runs(ticket)) {
            process.run(() -> pass(ticket, attempt, used, part, checksum));
          }
        });
  }

  private void pass(long ticket, Attempt attempt, AdapterRef used, int part, CRC32C checksum) {
    if (attempts.get(ticket) != attempt) {
      return;
    }
    if (part == attempt.request.parts()) {
      long sum = checksum.getValue();
      attempt.link.toEntry(() -> attempt.link.entry().closing(attempt.link, attempt.id, part, sum));
      end(ticket);
      poll();
      return;
    }
    byte[] bytes = attempt.request.part(used, part).getBytes(StandardCharsets.UTF_8);
    checksum.update(bytes);
    attempt.link.toEntry(() -> attempt.link.entry().part(attempt.link, attempt.id, part, bytes));
    produce(ticket, attempt, used, part + 1, checksum);
  }

  private void fail(long ticket) {
    Attempt attempt = attempts.get(ticket);
    end(ticket);
    attempt.link.toEntry(() -> attempt.link.entry().failed(attempt.link, attempt.id));
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

package org.hornbeamusher.companion;

import com.codahale.metrics.Gauge;
import com.codahale.metrics.MetricRegistry;
import java.util.Locale;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.ThreadLocalRandom;
import org.hornbeamusher.availability.AvailabilityLog;
import org.hornbeamusher.availability.AvailabilityRegister;
import org.hornbeamusher.availability.EndpointAvailability;
import org.hornbeamusher.availability.StatedRetryAfter;
import org.hornbeamusher.clock.Clock;
import org.hornbeamusher.directory.HeldAdapter;
import org.hornbeamusher.events.EventLog;
import org.hornbeamusher.events.EventType;
import org.hornbeamusher.failure.FailureType;
import org.hornbeamusher.failure.HornbeamusherException;
import org.hornbeamusher.holdings.AdapterPlaces;
import org.hornbeamusher.holdings.EngineOrder;
import org.hornbeamusher.holdings.EngineReport;
import org.hornbeamusher.holdings.OrderAnswer;
import org.hornbeamusher.holdings.Reservation;
import org.hornbeamusher.holdings.ReservationId;
import org.hornbeamusher.ids.EndpointId;
import org.hornbeamusher.ids.EndpointLife;
import org.hornbeamusher.ids.FencingNumber;
import org.hornbeamusher.lease.FencingLease;
import org.hornbeamusher.loop.EventLoop;
import org.hornbeamusher.routes.AdapterKey;
import org.hornbeamusher.routes.EngineSpec;
import org.hornbeamusher.routes.VersionsInForce;
import org.hornbeamusher.wire.Message;
import org.hornbeamusher.wire.WireConnection;
import org.hornbeamusher.wire.WireListener;
import org.hornbeamusher.wire.WireService;
import org.hornbeamusher.wire.WireTransport;

/**
 * The agent beside an engine: reports to the entries which adapters the engine holds, and orders it
 * to load the adapters they need. Requests do not pass through the agent and so survive its loss.
 *
 * <p>At most one call to the engine is in progress at any time. Each order is decided on the latest
 * report, and the next order waits for a report taken after it. That report also shows whether the
 * engine has restarted in the meantime; if so, the order and its result are disregarded, whichever
 * incarnation gave the result.
 */
public final class CompanionDaemon implements WireListener {

  private static final int PROTOCOL = 1;

  /** A load from the engine's cache takes 25 ms, and a report is a call on the same instance. */
  private static final long BUSY_REPORT_MILLIS = 20;

  /** Bounds how long a restart of an idle engine goes unnoticed. */
  private static final long IDLE_REPORT_MILLIS = 400;

  private static final long DOWN_REPORT_MILLIS = 150;

  /** At 0.4 s each, an engine that does not answer counts as unreachable after 1.5 s. */
  private static final int MOST_FAILED_REPORTS = 3;

  /** Interval at which time-based events (withdrawals, expired waits) are checked. */
  private static final long TICK_MILLIS = 20;

  private final CompanionSettings settings;
  private final EngineCalls engine;
  private final EventLoop loop;
  private final Clock clock;
  private final WireService server;
  private final FencingNumbers fencing;
  private final VersionsInForce versions = new VersionsInForce();
  private final ConnectedEntries entries = new ConnectedEntries();
  private final EntryServices services;
  private final MetricRegistry registry = new MetricRegistry();
  private AdapterPlaces places;
  private EngineSpec spec;
  private EngineReport report;

  private final EngineIdentity identity = new EngineIdentity();

  /** Retry-After periods that the engine has stated for calls of this agent. */
  private final EndpointAvailability availability = new EndpointAvailability();

  /** Incarnations of the engine that have stated that they are draining. */
  private final AvailabilityRegister statements = new AvailabilityRegister();

  private boolean calling;
  private boolean reachable = true;
  private int failedReports;
  private long nextReportMillis;
  private boolean stopped;

  /** Whether {@link #act} is scheduled, after the tasks that are already queued in the loop. */
  private boolean actingSoon;

  private EventLoop.Timer wakeUp = () -> {};
  private long wakeUpMillis = Long.MAX_VALUE;

  /**
   * Creates an agent that is not started.
   *
   * @param settings settings of its instance
   * @param engine calls to the engine
   * @param lease source of the fencing numbers of its orders
   * @param transport accepts the entries' connections
   * @param loop event loop that runs all of its decisions
   * @param clock monotonic clock
   */
  public CompanionDaemon(
      CompanionSettings settings,
      EngineCalls engine,
      FencingLease lease,
      WireTransport transport,
      EventLoop loop,
      Clock clock) {
    this.settings = settings;
    this.engine = engine;
    this.loop = loop;
    this.clock = clock;
    this.fencing = new FencingNumbers(lease, loop);
    this.services = new EntryServices(loop, clock, registry);
    this.server = transport.listen(settings.entries(), hello(settings), this);
  }

  private static Message.Hello hello(CompanionSettings settings) {
    return new Message.Hello(
        PROTOCOL,
        PROTOCOL,
        "agent",
        settings.instance(),
        ThreadLocalRandom.current().nextLong(),
        settings.zone(),
        settings.engine(),
        "");
  }

  /**
   * Returns the agent's metrics.
   *
   * @return orders by result, connected entries, free adapter slots and others
   */
  public MetricRegistry registry() {
    return registry;
  }

  private void registerGauges() {
    Gauge<Integer> connected = entries::size;
    registry.gauge("agent.entries", () -> connected);
    Gauge<Integer> spare = () -> places == null ? 0 : places.sparePlaces(clock.millis());
    registry.gauge("agent.spare_places", () -> spare);
    Gauge<Integer> reachableNow = () -> reachable ? 1 : 0;
    registry.gauge("agent.engine_reachable", () -> reachableNow);
  }

  /** Starts to listen for entries and to poll the engine. */
  public void start() {
    registerGauges();
    server.start();
    loop.execute(fencing::start);
    loop.execute(this::act);
    EventLog.log(
        EventType.PROCESS_STARTED,
        "role",
        "agent",
        "instance",
        settings.instance(),
        "engine",
        settings.engine(),
        "entries",
        settings.entries());
  }

  /** Stops the agent and closes its connections. */
  public void stop() {
    loop.execute(() -> stopped = true);
    server.stop();
  }

  /**
   * Applies the engine's specification from the configuration.
   *
   * @param engineSpec its adapter slots and models
   */
  public void configured(EngineSpec engineSpec) {
    if (engineSpec.equals(spec)) {
      return;
    }
    spec = engineSpec;
    if (places == null) {
      places = new AdapterPlaces(spec.adapterPlaces(), versions, clock.millis());
      Optional.ofNullable(report).ifPresent(said -> places.reported(said, clock.millis()));
    }
    actSoon();
  }

  /**
   * Applies a published version of an adapter.
   *
   * @param adapter the adapter
   * @param version any version; a version older than the one in force is ignored
   */
  public void versioned(AdapterKey adapter, long version) {
    if (versions.offer(adapter, version)) {
      EventLog.log(EventType.VERSION_IN_FORCE, "adapter", adapter, "version", version);
      actSoon();
    }
  }

  /** Handles a response of the engine, to any call, which states that the engine is draining. */
  public void engineLeaving() {
    loop.execute(
        () -> {
          Optional<EndpointLife> life = identity.current();
          if (life.isPresent() && statements.of(life.get()).statedLeaving()) {
            AvailabilityLog.leaving(life.get().id(), life.get().startMillis());
            actSoon();
          }
        });
  }

  @Override
  public void opened(WireConnection connection, Message.Hello hello) {
    loop.execute(
        () -> {
          entries.opened(connection);
          services.opened(connection);
          actSoon();
          EventLog.log(EventType.PEER_CONNECTED, "peer", hello.instance());
        });
  }

  @Override
  public void received(WireConnection connection, Message message) {
    loop.execute(() -> handle(connection, message));
  }

  @Override
  public void closed(WireConnection connection, HornbeamusherException reason) {
    loop.execute(
        () -> {
          OptionalLong entry = entries.closed(connection);
          services.closed(connection);
          if (entry.isPresent() && places != null) {
            places.releaseAll(entry.getAsLong());
            actSoon();
            EventLog.log(
                EventType.PEER_LOST, "peer", entry.getAsLong(), "reason", reason.type().label());
          }
        });
  }

  private void handle(WireConnection connection, Message message) {
    if (services.received(connection, message)) {
      return;
    }
    OptionalLong known = entries.number(connection);
    if (known.isEmpty() || places == null) {
      return;
    }
    long entry = known.getAsLong();
    switch (message) {
      case Message.Reserve reserve -> places.reserve(reservation(entry, reserve), clock.millis());
      case Message.PromptRead read ->
          places.promptRead(new ReservationId(entry, read.reservation()));
      case Message.Release release ->
          places.release(new ReservationId(entry, release.reservation()));
      default -> {
        // A newer entry may send messages that this agent does not know.
      }
    }
    actSoon();
  }

  private Reservation reservation(long entry, Message.Reserve reserve) {
    return new Reservation(
        new ReservationId(entry, reserve.reservation()),
        new HeldAdapter(AdapterKey.parse(reserve.adapter()), reserve.version()),
        reserve.rank(),
        reserve.unreadTokens(),
        clock.millis() + reserve.waitMillis(),
        clock.millis() + reserve.aimMillis());
  }

  /** Schedules {@link #act} once for all messages that are processed before it runs. */
  private void actSoon() {
    if (!actingSoon) {
      actingSoon = true;
      loop.execute(this::act);
    }
  }

  /** Performs all that is due: grants, a call to the engine, reports to the entries. */
  private void act() {
    actingSoon = false;
    if (stopped) {
      return;
    }
    if (places != null) {
      grant();
      places.observe(clock.millis());
    }
    if (!calling) {
      callEngine();
    }
    long reportDueMillis = Long.MAX_VALUE;
    if (places != null) {
      reportHoldings();
      reportDueMillis = entries.reportLoad(places, clock.millis());
    }
    wakeUpAt(Math.min(nextReportMillis, reportDueMillis));
  }

  /** Schedules the next {@link #act}; without waiting requests only for the given time. */
  private void wakeUpAt(long nextMillis) {
    long now = clock.millis();
    boolean pending = places == null || places.pending();
    long due = pending ? now + TICK_MILLIS : Math.max(now + TICK_MILLIS, nextMillis);
    if (due < wakeUpMillis || wakeUpMillis <= now) {
      wakeUp.cancel();
      wakeUpMillis = due;
      wakeUp = loop.after(due - now, this::wokenUp);
    }
  }

  private void wokenUp() {
    wakeUpMillis = Long.MAX_VALUE;
    act();
  }

  private void grant() {
    places.takeGrants().forEach(entries::granted);
  }

  private void callEngine() {
    long now = clock.millis();
    if (availability.backoffMillis(now) > 0) {
      return;
    }
    Optional<FencingNumber> number = fencing.current();
    Optional<EndpointLife> life = identity.current();
    if (places != null && number.isPresent() && report != null && life.isPresent()) {
      Optional<EngineOrder> order = places.nextOrder(spec.models(), now);
      if (order.isPresent()) {
        order(order.get(), life.get(), number.get());
        return;
      }
    }
    if (now >= nextReportMillis) {
      if (identity.needsName() && spec != null) {
        identify();
      } else {
        ask();
      }
    }
  }

  private void identify() {
    calling = true;
    engine.id().whenComplete((id, thrown) -> loop.execute(() -> identified(id, thrown)));
  }

  private void identified(EndpointId id, Throwable thrown) {
    calling = false;
    if (backsOff(thrown)) {
      return;
    }
    if (thrown != null) {
      unreachable(thrown);
      act();
      return;
    }
    identity.named(id);
    ask();
  }

  private void ask() {
    calling = true;
    engine.report().whenComplete((said, thrown) -> loop.execute(() -> reported(said, thrown)));
  }

  /**
   * Handles a refusal with a Retry-After period. It contains no information about what the engine
   * holds, so the last report stays valid.
   */
  private boolean backsOff(Throwable thrown) {
    if (thrown == null) {
      return false;
    }
    HornbeamusherException failure = HornbeamusherException.from(thrown);
    if (failure.type() != FailureType.ENDPOINT_BACKOFF) {
      return false;
    }
    long now = clock.millis();
    long stated = failure.retryAfterMillis().orElse(DOWN_REPORT_MILLIS);
    if (availability.answered(new StatedRetryAfter.Millis(stated), now)) {
      AvailabilityLog.backoff(
          identity.current().map(life -> life.id().value()).orElse(""),
          identity.current().map(EndpointLife::startMillis).orElse(EndpointLife.UNKNOWN_START),
          availability.backoffMillis(now));
    }
    nextReportMillis = now + Math.min(availability.backoffMillis(now), IDLE_REPORT_MILLIS);
    act();
    return true;
  }

  private void reported(EngineReport said, Throwable thrown) {
    calling = false;
    if (backsOff(thrown)) {
      return;
    }
    if (thrown != null) {
      unreachable(thrown);
      act();
      return;
    }
    reachable = true;
    failedReports = 0;
    EngineIdentity.Verdict verdict = identity.reported(said);
    if (verdict.known()) {
      take(said);
    } else {
      // The report is not used before the id of the incarnation is known.
      nextReportMillis = clock.millis() + (spec == null ? BUSY_REPORT_MILLIS : 0);
    }
    if (verdict == EngineIdentity.Verdict.NAMED) {
      lifeNamed(said);
    }
    if (verdict.ended()) {
      lifeEnded(verdict);
    }
    act();
  }

  private void lifeNamed(EngineReport said) {
    logSeen(said);
    if (places != null) {
      // Sent before any grant: an entry that received the grant first would send the request on
      // behalf of the previous incarnation and abandon it when it learns of this one.
      reportHoldings();
    }
  }

  private void logSeen(EngineReport said) {
    EventLog.log(
        EventType.ENGINE_SEEN,
        "endpoint",
        identity.current().map(EndpointLife::id).orElseThrow(),
        "start_ms",
        said.startMillis(),
        "sequence",
        said.sequence());
  }

  private void take(EngineReport said) {
    report = said;
    if (places != null) {
      places.reported(said, clock.millis());
    }
    boolean soon = places == null || places.inMotion();
    nextReportMillis = clock.millis() + (soon ? BUSY_REPORT_MILLIS : IDLE_REPORT_MILLIS);
  }

  /**
   * Discards the state of the previous incarnation. An order to that incarnation may still be in
   * transit, and the engine's id and, by chance, its count of orders may match those in the order;
   * the higher fencing number of the new orders makes the engine refuse it.
   */
  private void lifeEnded(EngineIdentity.Verdict verdict) {
    report = null;
    fencing.advance();
    if (places == null) {
      return;
    }
    if (verdict == EngineIdentity.Verdict.RESTARTED) {
      places.restarted();
    } else {
      // Entries cannot tell these two incarnations apart and keep their requests waiting here.
      places.lost();
    }
  }

  /**
   * Handles a failed call. A single timeout does not make the engine unreachable, because this
   * process may have been starved of CPU time; a refused connection or several consecutive timeouts
   * do.
   */
  private void unreachable(Throwable thrown) {
    nextReportMillis = clock.millis() + DOWN_REPORT_MILLIS;
    failedReports++;
    boolean refused = HornbeamusherException.from(thrown).type() == FailureType.CONNECT_FAILED;
    if (!refused && failedReports < MOST_FAILED_REPORTS) {
      return;
    }
    if (reachable) {
      EventLog.log(
          EventType.ENGINE_UNREACHABLE,
          "reason",
          HornbeamusherException.from(thrown).type().label(),
          "detail",
          HornbeamusherException.from(thrown).getMessage());
    }
    reachable = false;
    identity.lost();
    loseSight();
  }

  private void loseSight() {
    report = null;
    if (places != null) {
      places.lost();
    }
  }

  private void order(EngineOrder order, EndpointLife life, FencingNumber number) {
    calling = true;
    long sequence = report.sequence();
    engine
        .order(order, life.id(), sequence, number)
        .whenComplete(
            (answer, thrown) ->
                loop.execute(() -> ordered(order, life, sequence, number, answer, thrown)));
  }

  private void ordered(
      EngineOrder order,
      EndpointLife life,
      long sequence,
      FencingNumber number,
      OrderAnswer received,
      Throwable thrown) {
    calling = false;
    OrderAnswer answer = thrown == null ? received : OrderAnswer.UNKNOWN;
    EventLog.log(
        EventType.ENGINE_ORDERED,
        "order",
        order.getClass().getSimpleName(),
        "key",
        order.key(),
        "endpoint",
        life.id(),
        "start_ms",
        life.startMillis(),
        "sequence",
        sequence,
        "fencing",
        number.value(),
        "answer",
        answer);
    String kind = order instanceof EngineOrder.Load ? "load" : "unload";
    registry.counter("agent.orders." + kind + "." + answer.name().toLowerCase(Locale.ROOT)).inc();
    places.answered(answer);
    if (answer == OrderAnswer.STALE) {
      fencing.refused();
    }
    if (answer == OrderAnswer.OTHER_ENDPOINT) {
      identity.refuted();
      loseSight();
      act();
    } else if (!backsOff(thrown)) {
      ask();
    }
  }

  private void reportHoldings() {
    Optional<EndpointLife> life = report == null ? Optional.empty() : identity.current();
    boolean stated = life.filter(one -> statements.of(one).leaving()).isPresent();
    boolean leaving = stated || (report != null && report.leaving());
    entries.reportHoldings(life, places, services.entries(), leaving);
  }
}

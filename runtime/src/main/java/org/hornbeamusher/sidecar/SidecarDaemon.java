package org.hornbeamusher.sidecar;

import com.codahale.metrics.Gauge;
import com.codahale.metrics.MetricRegistry;
import java.util.Locale;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.ThreadLocalRandom;
import org.hornbeamusher.availability.AvailabilityLog;
import org.hornbeamusher.availability.AvailabilityRegistry;
import org.hornbeamusher.availability.EndpointAvailability;
import org.hornbeamusher.availability.RetryAfter;
import org.hornbeamusher.clock.Clock;
import org.hornbeamusher.directory.AdapterVersion;
import org.hornbeamusher.events.EventLog;
import org.hornbeamusher.events.EventType;
import org.hornbeamusher.failure.FailureType;
import org.hornbeamusher.failure.HornbeamusherException;
import org.hornbeamusher.features.ServingFeature;
import org.hornbeamusher.fencing.FencingNumberAllocator;
import org.hornbeamusher.holdings.AdapterSlots;
import org.hornbeamusher.holdings.EngineOrder;
import org.hornbeamusher.holdings.EngineReport;
import org.hornbeamusher.holdings.LoadPriority;
import org.hornbeamusher.holdings.OrderResult;
import org.hornbeamusher.holdings.Reservation;
import org.hornbeamusher.holdings.ReservationId;
import org.hornbeamusher.ids.EndpointId;
import org.hornbeamusher.ids.EndpointIncarnation;
import org.hornbeamusher.ids.FencingNumber;
import org.hornbeamusher.loop.EventLoop;
import org.hornbeamusher.recovery.LoadPermits;
import org.hornbeamusher.recovery.StoreLoadDemand;
import org.hornbeamusher.routes.AdapterKey;
import org.hornbeamusher.routes.EngineSpec;
import org.hornbeamusher.routes.LatestAdapterVersions;
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
public final class SidecarDaemon implements WireListener {

  private static final int PROTOCOL = 1;

  private static final long NEVER = Long.MIN_VALUE / 2;

  /** A load from the engine's cache takes 25 ms, and a report is a call on the same instance. */
  private static final long BUSY_REPORT_MILLIS = 20;

  /** Bounds how long a restart of an idle engine goes unnoticed. */
  private static final long IDLE_REPORT_MILLIS = 400;

  private static final long UNREACHABLE_REPORT_MILLIS = 150;

  /** At 0.4 s each, an engine that does not answer counts as unreachable after 1.5 s. */
  private static final int MAX_FAILED_REPORTS = 3;

  /** Interval at which time-based events (withdrawals, expired waits) are checked. */
  private static final long TICK_MILLIS = 20;

  private final SidecarSettings settings;
  private final EngineClient engine;
  private final EventLoop loop;
  private final Clock clock;
  private final WireService server;
  private final FencingNumbers fencing;
  private final LatestAdapterVersions versions = new LatestAdapterVersions();
  private final ConnectedEntries entries = new ConnectedEntries();
  private final EntryServices services;

  /** Empty if loads are not paced over all engines. */
  private final Optional<LoadPermitExchange> permits;

  private final MetricRegistry registry = new MetricRegistry();
  private AdapterSlots adapterSlots;
  private EngineSpec spec;
  private EngineReport report;

  private final EngineIncarnationTracker incarnationTracker = new EngineIncarnationTracker();

  private final ReportConnection reportConnection = new ReportConnection();

  /** Retry-After periods that the engine has stated for calls of this agent. */
  private final EndpointAvailability availability = new EndpointAvailability();

  /** Incarnations of the engine that have stated that they are draining. */
  private final AvailabilityRegistry incarnationAvailability = new AvailabilityRegistry();

  private boolean callInProgress;
  private boolean reachable = true;
  private int failedReports;

  /** When the engine last answered with a report. */
  private long lastReportMillis = NEVER;

  private long nextReportMillis;
  private boolean stopped;

  /**
   * Whether {@link #runDueWork} is scheduled, after the tasks that are already queued in the loop.
   */
  private boolean dueWorkScheduled;

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
  public SidecarDaemon(
      SidecarSettings settings,
      EngineClient engine,
      FencingNumberAllocator lease,
      WireTransport transport,
      EventLoop loop,
      Clock clock) {
    this.settings = settings;
    this.engine = engine;
    this.loop = loop;
    this.clock = clock;
    this.fencing = new FencingNumbers(lease, loop);
    this.services = new EntryServices(loop, clock, registry);
    this.permits =
        settings.features().uses(ServingFeature.RECOVERY)
            ? Optional.of(new LoadPermitExchange(clock, registry))
            : Optional.empty();
    this.server = transport.listen(settings.listenAddress(), hello(settings), this);
  }

  private static Message.Hello hello(SidecarSettings settings) {
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
  public MetricRegistry metrics() {
    return registry;
  }

  private void registerGauges() {
    Gauge<Integer> connected = entries::size;
    registry.gauge("agent.entries", () -> connected);
    Gauge<Integer> spare = () -> adapterSlots == null ? 0 : adapterSlots.spareSlots(clock.millis());
    registry.gauge("agent.spare_places", () -> spare);
    Gauge<Integer> reachableNow = () -> reachable ? 1 : 0;
    registry.gauge("agent.engine_reachable", () -> reachableNow);
  }

  /** Starts to listen for entries and to poll the engine. */
  public void start() {
    registerGauges();
    server.start();
    loop.execute(fencing::start);
    loop.execute(this::runDueWork);
    EventLog.log(
        EventType.PROCESS_STARTED,
        "role",
        "agent",
        "instance",
        settings.instance(),
        "engine",
        settings.engine(),
        "entries",
        settings.listenAddress());
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
  public void updateEngineSpec(EngineSpec engineSpec) {
    if (engineSpec.equals(spec)) {
      return;
    }
    spec = engineSpec;
    if (adapterSlots == null) {
      adapterSlots =
          new AdapterSlots(
              spec.adapterCapacity(),
              versions,
              loadPriority(),
              permits.map(LoadPermitExchange::permits),
              clock.millis());
      Optional.ofNullable(report)
          .ifPresent(lastReport -> adapterSlots.recordReport(lastReport, clock.millis()));
    }
    scheduleDueWork();
  }

  private LoadPriority loadPriority() {
    return settings.features().uses(ServingFeature.FAIR_SHARES)
        ? LoadPriority.BY_RANK
        : LoadPriority.BY_WAITERS;
  }

  /**
   * Applies a published version of an adapter.
   *
   * @param adapter the adapter
   * @param version any version; a version older than the one in force is ignored
   */
  public void updateAdapterVersion(AdapterKey adapter, long version) {
    if (versions.offer(adapter, version)) {
      EventLog.log(EventType.VERSION_IN_FORCE, "adapter", adapter, "version", version);
      scheduleDueWork();
    }
  }

  /** Handles a response of the engine, to any call, which states that the engine is draining. */
  public void engineLeaving() {
    loop.execute(
        () -> {
          Optional<EndpointIncarnation> incarnation = incarnationTracker.current();
          if (incarnation.isPresent()
              && incarnationAvailability.of(incarnation.get()).recordLeaving()) {
            AvailabilityLog.leaving(incarnation.get().id(), incarnation.get().startMillis());
            scheduleDueWork();
          }
        });
  }

  @Override
  public void opened(WireConnection connection, Message.Hello hello) {
    loop.execute(
        () -> {
          entries.entryConnected(connection);
          services.entryConnected(connection);
          permits.ifPresent(exchange -> exchange.entryConnected(connection));
          scheduleDueWork();
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
          OptionalLong entry = entries.entryDisconnected(connection);
          services.entryDisconnected(connection);
          permits.ifPresent(exchange -> exchange.entryDisconnected(connection));
          if (entry.isPresent() && adapterSlots != null) {
            adapterSlots.releaseAll(entry.getAsLong());
            scheduleDueWork();
            EventLog.log(
                EventType.PEER_LOST, "peer", entry.getAsLong(), "reason", reason.type().label());
          }
        });
  }

  private void handle(WireConnection connection, Message message) {
    if (message instanceof Message.Leaving) {
      permits.ifPresent(exchange -> exchange.entryLeaving(connection));
    }
    if (services.received(connection, message)) {
      return;
    }
    OptionalLong known = entries.number(connection);
    if (known.isEmpty() || adapterSlots == null) {
      return;
    }
    long entry = known.getAsLong();
    switch (message) {
      case Message.Reserve reserve ->
          adapterSlots.reserve(reservation(entry, reserve), clock.millis());
      case Message.PromptProcessed read ->
          adapterSlots.promptProcessed(new ReservationId(entry, read.reservation()));
      case Message.ReservationRelease release ->
          adapterSlots.release(new ReservationId(entry, release.reservation()));
      case Message.LoadPermitResponse response ->
          permits.ifPresent(exchange -> exchange.received(connection, response));
      default -> {
        // A newer entry may send messages that this agent does not know.
      }
    }
    scheduleDueWork();
  }

  private Reservation reservation(long entry, Message.Reserve reserve) {
    return new Reservation(
        new ReservationId(entry, reserve.reservation()),
        new AdapterVersion(AdapterKey.parse(reserve.adapter()), reserve.version()),
        reserve.rank(),
        reserve.pendingPromptTokens(),
        clock.millis() + reserve.maxWaitMillis(),
        clock.millis() + reserve.firstEventTargetMillis(),
        clock.millis());
  }

  /** Schedules {@link #runDueWork} once for all messages that are processed before it runs. */
  private void scheduleDueWork() {
    if (!dueWorkScheduled) {
      dueWorkScheduled = true;
      loop.execute(this::runDueWork);
    }
  }

  /** Performs all that is due: grants, a call to the engine, reports to the entries. */
  private void runDueWork() {
    dueWorkScheduled = false;
    if (stopped) {
      return;
    }
    if (adapterSlots != null) {
      grant();
      adapterSlots.updateAdaptersInUse(clock.millis());
      permits.ifPresent(this::updatePermits);
    }
    if (!callInProgress) {
      callEngine();
    }
    long reportDueMillis = Long.MAX_VALUE;
    if (adapterSlots != null) {
      reportHoldings();
      // After the report of holdings, which shows the load that has just used a permit.
      permits.ifPresent(this::updatePermits);
      reportDueMillis = entries.reportWorkload(adapterSlots, clock.millis());
    }
    wakeUpAt(Math.min(nextReportMillis, reportDueMillis));
  }

  private void updatePermits(LoadPermitExchange exchange) {
    boolean paced = exchange.permits().mode() == LoadPermits.Mode.PACED;
    exchange.update(paced ? adapterSlots.storeLoadDemand(clock.millis()) : StoreLoadDemand.NONE);
  }

  /** Schedules the next {@link #runDueWork}; without waiting requests only for the given time. */
  private void wakeUpAt(long nextMillis) {
    long now = clock.millis();
    boolean pending = adapterSlots == null || adapterSlots.hasTimedWork();
    long due = pending ? now + TICK_MILLIS : Math.max(now + TICK_MILLIS, nextMillis);
    if (due < wakeUpMillis || wakeUpMillis <= now) {
      wakeUp.cancel();
      wakeUpMillis = due;
      wakeUp = loop.after(due - now, this::onWakeUp);
    }
  }

  private void onWakeUp() {
    wakeUpMillis = Long.MAX_VALUE;
    runDueWork();
  }

  private void grant() {
    adapterSlots.takeGrants().forEach(entries::notifyGranted);
  }

  private void callEngine() {
    long now = clock.millis();
    if (availability.backoffMillis(now) > 0) {
      return;
    }
    Optional<FencingNumber> number = fencing.current();
    Optional<EndpointIncarnation> incarnation = incarnationTracker.current();
    if (adapterSlots != null && number.isPresent() && report != null && incarnation.isPresent()) {
      Optional<EngineOrder> order = adapterSlots.nextOrder(spec.models(), now);
      if (order.isPresent()) {
        sendOrder(order.get(), incarnation.get(), number.get());
        return;
      }
    }
    if (now >= nextReportMillis) {
      if (incarnationTracker.needsId() && spec != null) {
        requestId();
      } else {
        requestReport();
      }
    }
  }

  private void requestId() {
    callInProgress = true;
    engine.id().whenComplete((id, thrown) -> loop.execute(() -> idReceived(id, thrown)));
  }

  private void idReceived(EndpointId id, Throwable thrown) {
    callInProgress = false;
    if (handleBackoff(thrown)) {
      return;
    }
    if (thrown != null) {
      callFailed(thrown);
      runDueWork();
      return;
    }
    incarnationTracker.idReceived(id);
    requestReport();
  }

  private void requestReport() {
    callInProgress = true;
    engine
        .report(reportConnection.mayReuse())
        .whenComplete((newReport, thrown) -> loop.execute(() -> reportReceived(newReport, thrown)));
  }

  /**
   * Handles a refusal with a Retry-After period. It contains no information about what the engine
   * holds, so the last report stays valid.
   */
  private boolean handleBackoff(Throwable thrown) {
    if (thrown == null) {
      return false;
    }
    HornbeamusherException failure = HornbeamusherException.from(thrown);
    if (failure.type() != FailureType.ENDPOINT_BACKOFF) {
      return false;
    }
    reportConnection.discard();
    long now = clock.millis();
    long stated = failure.retryAfterMillis().orElse(UNREACHABLE_REPORT_MILLIS);
    if (availability.recordRetryAfter(new RetryAfter.Millis(stated), now)) {
      AvailabilityLog.backoff(
          incarnationTracker.current().map(incarnation -> incarnation.id().value()).orElse(""),
          incarnationTracker
              .current()
              .map(EndpointIncarnation::startMillis)
              .orElse(EndpointIncarnation.UNKNOWN_START),
          availability.backoffMillis(now));
    }
    nextReportMillis = now + Math.min(availability.backoffMillis(now), IDLE_REPORT_MILLIS);
    runDueWork();
    return true;
  }

  private void reportReceived(EngineReport newReport, Throwable thrown) {
    callInProgress = false;
    if (handleBackoff(thrown)) {
      return;
    }
    if (thrown != null) {
      callFailed(thrown);
      runDueWork();
      return;
    }
    reportConnection.received(newReport);
    reachable = true;
    failedReports = 0;
    lastReportMillis = clock.millis();
    EngineIncarnationTracker.Verdict verdict = incarnationTracker.recordReport(newReport);
    if (verdict.known()) {
      applyReport(newReport);
    } else {
      // The report is not used before the id of the incarnation is known.
      nextReportMillis = clock.millis() + (spec == null ? BUSY_REPORT_MILLIS : 0);
    }
    if (verdict == EngineIncarnationTracker.Verdict.NAMED) {
      incarnationIdentified(newReport);
    }
    if (verdict.ended()) {
      incarnationEnded(verdict);
    }
    runDueWork();
  }

  private void incarnationIdentified(EngineReport newReport) {
    logEngineSeen(newReport);
    if (adapterSlots != null) {
      // Sent before any grant: an entry that received the grant first would send the request on
      // behalf of the previous incarnation and abandon it when it learns of this one.
      reportHoldings();
    }
  }

  private void logEngineSeen(EngineReport newReport) {
    EventLog.log(
        EventType.ENGINE_SEEN,
        "endpoint",
        incarnationTracker.current().map(EndpointIncarnation::id).orElseThrow(),
        "start_ms",
        newReport.startMillis(),
        "sequence",
        newReport.orderSequence());
  }

  private void applyReport(EngineReport newReport) {
    report = newReport;
    if (adapterSlots != null) {
      adapterSlots.recordReport(newReport, clock.millis());
    }
    boolean soon = adapterSlots == null || adapterSlots.changeExpected();
    nextReportMillis = clock.millis() + (soon ? BUSY_REPORT_MILLIS : IDLE_REPORT_MILLIS);
  }

  /**
   * Discards the state of the previous incarnation. An order to that incarnation may still be in
   * transit, and the engine's id and, by chance, its count of orders may match those in the order;
   * the higher fencing number of the new orders makes the engine refuse it.
   */
  private void incarnationEnded(EngineIncarnationTracker.Verdict verdict) {
    report = null;
    fencing.advance();
    if (adapterSlots == null) {
      return;
    }
    if (verdict == EngineIncarnationTracker.Verdict.RESTARTED) {
      adapterSlots.engineRestarted();
    } else {
      // Entries cannot tell these two incarnations apart and keep their requests waiting here.
      adapterSlots.engineUnreachable();
    }
  }

  /**
   * Handles a failed call. A single timeout does not make the engine unreachable, because this
   * process may have been starved of CPU time; a refused connection or several consecutive timeouts
   * do.
   */
  private void callFailed(Throwable thrown) {
    reportConnection.discard();
    nextReportMillis = clock.millis() + UNREACHABLE_REPORT_MILLIS;
    failedReports++;
    boolean refused = HornbeamusherException.from(thrown).type() == FailureType.CONNECT_FAILED;
    if (!refused && failedReports < MAX_FAILED_REPORTS) {
      return;
    }
    if (reachable) {
      EventLog.log(
          EventType.ENGINE_UNREACHABLE,
          "reason",
          HornbeamusherException.from(thrown).type().label(),
          "detail",
          HornbeamusherException.from(thrown).getMessage(),
          "failed_calls",
          failedReports,
          "last_report_ms",
          lastReportMillis == NEVER ? -1 : clock.millis() - lastReportMillis,
          "endpoint",
          incarnationTracker.current().map(seen -> seen.id().value()).orElse(""));
    }
    reachable = false;
    incarnationTracker.markUnreachable();
    discardEngineState();
  }

  private void discardEngineState() {
    report = null;
    if (adapterSlots != null) {
      adapterSlots.engineUnreachable();
    }
  }

  private void sendOrder(EngineOrder order, EndpointIncarnation incarnation, FencingNumber number) {
    callInProgress = true;
    reportConnection.discard();
    long sequence = report.orderSequence();
    engine
        .order(order, incarnation.id(), sequence, number)
        .whenComplete(
            (result, thrown) ->
                loop.execute(
                    () -> orderCompleted(order, incarnation, sequence, number, result, thrown)));
  }

  private void orderCompleted(
      EngineOrder order,
      EndpointIncarnation incarnation,
      long sequence,
      FencingNumber number,
      OrderResult response,
      Throwable thrown) {
    callInProgress = false;
    OrderResult result = thrown == null ? response : OrderResult.UNKNOWN;
    EventLog.log(
        EventType.ENGINE_ORDERED,
        "order",
        order.getClass().getSimpleName(),
        "key",
        order.key(),
        "endpoint",
        incarnation.id(),
        "start_ms",
        incarnation.startMillis(),
        "sequence",
        sequence,
        "fencing",
        number.value(),
        "answer",
        result);
    String kind = order instanceof EngineOrder.Load ? "load" : "unload";
    registry.counter("agent.orders." + kind + "." + result.name().toLowerCase(Locale.ROOT)).inc();
    adapterSlots.orderCompleted(result);
    if (result == OrderResult.STALE) {
      fencing.refused();
    }
    if (result == OrderResult.OTHER_ENDPOINT) {
      incarnationTracker.idRefuted();
      discardEngineState();
      runDueWork();
    } else if (!handleBackoff(thrown)) {
      requestReport();
    }
  }

  private void reportHoldings() {
    Optional<EndpointIncarnation> incarnation =
        report == null ? Optional.empty() : incarnationTracker.current();
    boolean stated =
        incarnation.filter(current -> incarnationAvailability.of(current).leaving()).isPresent();
    boolean leaving = stated || (report != null && report.leaving());
    entries.reportHoldings(incarnation, adapterSlots, services.entryCount(), leaving);
  }
}

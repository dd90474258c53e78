package org.hornbeamusher.agent;

import io.undertow.Undertow;
import io.undertow.server.handlers.PathHandler;
import java.net.InetSocketAddress;
import java.net.URI;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicReference;
import org.hornbeamusher.clock.Clock;
import org.hornbeamusher.documents.ServiceDocument;
import org.hornbeamusher.endpoint.EngineOrderClient;
import org.hornbeamusher.events.EventLog;
import org.hornbeamusher.events.EventType;
import org.hornbeamusher.failure.FailureType;
import org.hornbeamusher.failure.HornbeamusherException;
import org.hornbeamusher.fencing.FencingNumberAllocator;
import org.hornbeamusher.ids.AdapterRef;
import org.hornbeamusher.ids.EndpointId;
import org.hornbeamusher.metrics.MetricsReport;
import org.hornbeamusher.metrics.ProcessMetric;
import org.hornbeamusher.operator.OperatorApi;
import org.hornbeamusher.pacing.PermitSettings;
import org.hornbeamusher.process.HttpListener;
import org.hornbeamusher.process.ProcessServices;
import org.hornbeamusher.routing.EndpointLoad;
import org.hornbeamusher.scheduling.AgentScheduler;
import org.hornbeamusher.scheduling.SchedulerSettings;
import org.hornbeamusher.settings.AgentSettings;
import org.hornbeamusher.settings.CapacitySettings;
import org.hornbeamusher.settings.EndpointKind;
import org.hornbeamusher.wire.Message;
import org.hornbeamusher.wire.WireConnection;
import org.hornbeamusher.wire.WireListener;
import org.hornbeamusher.wire.WireServer;
import org.hornbeamusher.wire.WireSockets;

/** An agent: the process beside one endpoint. */
public final class AgentDaemon implements WireListener {

  private static final int PROTOCOL = 1;

  /** Interval of checks for a due poll, and the maximum delay of a time-based decision. */
  private static final long TICK_MILLIS = 10;

  /** Interval of reports of a changed load; entries add their own outstanding requests to it. */
  private static final long REPORT_MILLIS = 50;

  /** Interval of reports of an unchanged load, for entries that missed a report. */
  private static final long IDLE_REPORT_MILLIS = 1_000;

  /** Interval of batch samples; a few fall into the shortest response. */
  private static final long SAMPLE_MILLIS = 100;

  /** Interval of requests for the engine's state. */
  private static final long OBSERVE_MILLIS = 500;

  /**
   * In the worst case a load waits for the whole queue of the weight store; after this time its
   * response counts as lost.
   */
  private static final long ORDER_TIMEOUT_MILLIS = 30_000;

  private static final long STOP_POLL_MILLIS = 20;

  private final AgentSettings settings;
  private final ProcessServices services;
  private final Clock clock;
  private final ScheduledExecutorService timer =
      Executors.newSingleThreadScheduledExecutor(
          Thread.ofPlatform().daemon().name("agent-timer").factory());
  private final Message.Hello hello;
  private final WireServer server;
  private final HttpListener listener;
  private final PermitExchange permits;
  private final CountDownLatch drainOrdered = new CountDownLatch(1);

  /** Set once the endpoint's capacity is known, from the settings or from a document. */
  private final AtomicReference<EndpointExecutor> executor = new AtomicReference<>();

  private volatile boolean draining;
  private EndpointLoad lastReport;
  private long lastReportMillis;
  private long lastSampleMillis;

  /**
   * Creates an agent that is not started.
   *
   * @param settings its settings
   * @param sockets plain or TLS sockets for connections of entries
   * @param clock the clock
   */
  public AgentDaemon(AgentSettings settings, WireSockets sockets, Clock clock) {
    this.settings = settings;
    this.clock = clock;
    this.services = new ProcessServices(settings.platform(), () -> 0, clock);
    this.listener =
        new HttpListener(settings.http(), Undertow.builder().setIoThreads(1).setWorkerThreads(1));
    this.hello = hello(settings);
    this.server =
        new WireServer(
            settings.entryListener().address(), hello, this, settings.wire(), sockets, clock);
    this.permits =
        new PermitExchange(
            new PermitExchange.Setup(
                new EndpointId(settings.instance().value()),
                settings.capacity().weightStore(),
                PermitSettings.of(settings.capacity().partnerShares()),
                hello,
                settings.wire(),
                sockets),
            services::instances,
            () -> readyExecutor().ifPresent(EndpointExecutor::permitGranted),
            clock);
  }

  /**
   * Returns the services that all kinds of processes have.
   *
   * @return its services
   */
  public ProcessServices services() {
    return services;
  }

  private static Message.Hello hello(AgentSettings settings) {
    return new Message.Hello(
        PROTOCOL,
        PROTOCOL,
        "agent",
        settings.instance().value(),
        ThreadLocalRandom.current().nextLong(),
        settings.zone().value(),
        settings.endpoint().value(),
        settings.pool().value());
  }

  private boolean isModel() {
    return settings.capacity().kind() == EndpointKind.MODEL;
  }

  /** Starts to listen for entries and operators. */
  public void start() {
    services.start();
    services.processMetrics().gauge(ProcessMetric.IN_FLIGHT, this::outstanding);
    services.processMetrics().gauge(ProcessMetric.PEERS, server::connections);
    services.sync().addListener(document -> becomeReady());
    becomeReady();
    timer.scheduleWithFixedDelay(this::tick, TICK_MILLIS, TICK_MILLIS, TimeUnit.MILLISECONDS);
    timer.scheduleWithFixedDelay(
        this::requestEngineState, OBSERVE_MILLIS, OBSERVE_MILLIS, TimeUnit.MILLISECONDS);
    server.start();
    listener.start(
        new OperatorApi(
                new AgentOperations(
                    settings,
                    services,
                    () -> readyExecutor().map(EndpointExecutor::load),
                    () -> draining,
                    this::drain),
                settings.tokenDirectory(),
                new MetricsReport(services.metrics()))
            .mount(new PathHandler()));
    EventLog.log(
        EventType.PROCESS_STARTED,
        "role",
        "agent",
        "instance",
        settings.instance(),
        "at",
        address());
  }

  /** Creates the executor once the endpoint's capacity is known. */
  private synchronized void becomeReady() {
    if (executor.get() == null) {
      capacity().ifPresent(this::createExecutor);
    }
  }

  private void createExecutor(Capacity capacity) {
    CapacitySettings capacitySettings = settings.capacity();
    SchedulerSettings scheduling =
        new SchedulerSettings(
            capacity.slots(),
            capacity.batch(),
            capacitySettings.queueLimit(),
            capacitySettings.minimumStayMillis(),
            capacitySettings.tokensPerSecond(),
            capacitySettings.loadMillis(),
            true,
            capacitySettings.partnerShares());
    FencingNumberAllocator lease =
        new FencingNumberAllocator(
            services.table(), settings.endpoint(), Long.toHexString(hello.incarnation()));
    EndpointExecutor created =
        new EndpointExecutor(
            new EndpointExecutor.EndpointParameters(
                settings.endpoint(),
                settings.endpointUri(),
                isModel(),
                new EngineFencing(lease),
                this::drain),
            new AgentScheduler(scheduling),
            new EngineOrderClient(
                settings.endpoint(), settings.endpointUri(), services.http(), ORDER_TIMEOUT_MILLIS),
            services.http(),
            this::weightsLocation,
            permits.permits(),
            clock);
    created.requestEngineState();
    executor.set(created);
  }

  private record Capacity(int slots, int batch) {}

  /** Returns the endpoint's capacity from the settings or else the document; empty without both. */
  private Optional<Capacity> capacity() {
    Optional<Capacity> declared =
        services.documents().all().stream()
            .filter(document -> document.pool().equals(settings.pool()))
            .findFirst()
            .map(document -> capacity(document.kind()));
    CapacitySettings configured = settings.capacity();
    Optional<Integer> slots =
        isModel() ? configured.slots().or(() -> declared.map(Capacity::slots)) : Optional.of(0);
    Optional<Integer> batch = configured.batch().or(() -> declared.map(Capacity::batch));
    return slots.flatMap(s -> batch.map(b -> new Capacity(s, b)));
  }

  private static Capacity capacity(ServiceDocument.ServiceKind kind) {
    return switch (kind) {
      case ServiceDocument.ServiceKind.Model model ->
          new Capacity(model.adapterSlots(), model.batch());
      case ServiceDocument.ServiceKind.Plain plain -> new Capacity(0, plain.concurrency());
    };
  }

  /** Starts to drain: notifies the entries, refuses new work and finishes accepted work. */
  public void drain() {
    draining = true;
    readyExecutor().ifPresent(EndpointExecutor::drain);
    server.broadcast(new Message.Leaving());
    drainOrdered.countDown();
  }

  /**
   * Waits until a drain is ordered.
   *
   * @throws InterruptedException when waiting is interrupted
   */
  public void awaitDrain() throws InterruptedException {
    drainOrdered.await();
  }

  /**
   * Drains, waits for the requests in flight and stops.
   *
   * @throws InterruptedException when waiting is interrupted
   */
  public void stop() throws InterruptedException {
    drain();
    EventLog.log(
        EventType.PROCESS_STOPPING, "instance", settings.instance(), "requests", outstanding());
    while (outstanding() > 0) {
      Thread.sleep(STOP_POLL_MILLIS);
    }
    timer.shutdownNow();
    permits.stop();
    listener.stop();
    server.stop();
    services.stop();
    EventLog.log(EventType.PROCESS_STOPPED, "instance", settings.instance());
  }

  /**
   * Returns the address for operators.
   *
   * @return the URI
   */
  public URI operatorUri() {
    return listener.uri();
  }

  /**
   * Returns the address for entries.
   *
   * @return the bound address
   */
  public InetSocketAddress address() {
    return server.boundAddress();
  }

  private Optional<EndpointExecutor> readyExecutor() {
    return Optional.ofNullable(executor.get());
  }

  private int outstanding() {
    return readyExecutor().map(EndpointExecutor::outstanding).orElse(0);
  }

  private void requestEngineState() {
    if (isModel()) {
      readyExecutor().ifPresent(EndpointExecutor::requestEngineState);
    }
  }

  /**
   * Runs the periodic work. Exceptions are logged and not propagated, because the timer cancels a
   * task that throws, and the agent would then no longer decide or report while its connections
   * stay open.
   */
  private void tick() {
    try {
      permits.tick();
      readyExecutor().ifPresent(this::tick);
    } catch (RuntimeException e) {
      EventLog.log(EventType.TASK_FAILED, "task", "agent tick", "failure", e);
    }
  }

  private void tick(EndpointExecutor ready) {
    if (clock.millis() >= ready.nextPollMillis()) {
      ready.poll();
    }
    long now = clock.millis();
    if (now - lastReportMillis < REPORT_MILLIS) {
      return;
    }
    EndpointLoad load = ready.load();
    sample(load, now);
    if (!load.equals(lastReport) || now - lastReportMillis >= IDLE_REPORT_MILLIS) {
      lastReport = load;
      lastReportMillis = now;
      server.broadcast(message(load));
    }
  }

  /** Samples the batch at equal intervals while there are requests. */
  private void sample(EndpointLoad load, long now) {
    if (now - lastSampleMillis < SAMPLE_MILLIS) {
      return;
    }
    lastSampleMillis = now;
    if (load.running() + load.queued() > 0) {
      services.documents().all().stream()
          .filter(document -> document.pool().equals(settings.pool()))
          .forEach(
              document ->
                  services
                      .metrics()
                      .recordBatchSample(document.service(), load.running(), load.batch()));
    }
  }

  private static Message message(EndpointLoad load) {
    List<String> resident =
        load.resident().stream()
            .sorted(Comparator.naturalOrder())
            .map(AdapterRef::toString)
            .toList();
    return new Message.LoadReport(
        load.running(),
        load.queued(),
        load.batch(),
        load.slots(),
        load.queueWaitMillis(),
        load.loadWaitMillis(),
        resident);
  }

  /** Returns an adapter's location in the weight store according to its service's document. */
  private String weightsLocation(AdapterRef adapter) {
    return services
        .documents()
        .current(adapter.service())
        .filter(document -> document.kind() instanceof ServiceDocument.ServiceKind.Model)
        .map(document -> ((ServiceDocument.ServiceKind.Model) document.kind()).adapters())
        .map(adapters -> adapters.get(adapter.adapter()))
        .map(
            found ->
                found.weightsLocation().replace("{version}", Integer.toString(adapter.version())))
        .orElse(adapter.toString());
  }

  @Override
  public void opened(WireConnection connection, Message.Hello peer) {
    EventLog.log(EventType.PEER_CONNECTED, "peer", peer.instance());
    services.exchange().opened(connection);
    readyExecutor().ifPresent(ready -> connection.send(message(ready.load())));
    if (draining) {
      connection.send(new Message.Leaving());
    }
  }

  @Override
  public void received(WireConnection connection, Message message) {
    switch (message) {
      case Message.Dispatch dispatch -> dispatch(connection, dispatch);
      case Message.Cancel cancel ->
          readyExecutor().ifPresent(ready -> ready.cancel(connection, cancel.attempt()));
      case Message.Credit credit ->
          readyExecutor()
              .ifPresent(ready -> ready.credit(connection, credit.attempt(), credit.bytes()));
      case Message.CrashNotice notice -> server.broadcast(notice);
      default -> {
        if (!permits.messageReceived(connection, message)) {
          services.exchange().received(connection, message);
        }
      }
    }
  }

  private void dispatch(WireConnection connection, Message.Dispatch dispatch) {
    EndpointExecutor ready = executor.get();
    if (ready == null) {
      connection.send(EndpointExecutor.refusal(dispatch, FailureType.NO_ENDPOINT, settings.pool()));
      return;
    }
    ready.dispatch(connection, dispatch);
  }

  @Override
  public long documentDigest() {
    return services.exchange().digest();
  }

  @Override
  public void heartbeatReceived(WireConnection connection, long digest) {
    services.exchange().heartbeat(connection, digest);
  }

  @Override
  public void closed(WireConnection connection, HornbeamusherException reason) {
    services.exchange().closed(connection);
    permits.connectionClosed(connection);
    readyExecutor().ifPresent(ready -> ready.connectionClosed(connection));
  }
}

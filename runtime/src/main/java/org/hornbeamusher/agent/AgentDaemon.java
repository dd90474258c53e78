package org.hornbeamusher.agent;

import java.net.InetSocketAddress;
import java.util.Comparator;
import java.util.List;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import org.hornbeamusher.clock.Clock;
import org.hornbeamusher.documents.DocumentHolder;
import org.hornbeamusher.documents.ServiceDocument;
import org.hornbeamusher.endpoint.EngineOrders;
import org.hornbeamusher.events.EventLog;
import org.hornbeamusher.events.EventType;
import org.hornbeamusher.failure.HornbeamusherException;
import org.hornbeamusher.http.HttpClient;
import org.hornbeamusher.ids.AdapterRef;
import org.hornbeamusher.ids.FencingNumber;
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
  private static final int IO_THREADS = 2;
  private static final int DEFAULT_SLOTS = 8;
  private static final int DEFAULT_BATCH = 16;

  /** How often a due poll is looked for; a request waits this long at most for a timed decision. */
  private static final long TICK_MILLIS = 10;

  /** How often a changed load is reported; entries add their own outstanding work to it. */
  private static final long REPORT_MILLIS = 50;

  /** How often an unchanged load is reported, for an entry that missed one. */
  private static final long IDLE_REPORT_MILLIS = 1_000;

  /** How often the engine is asked for its state. */
  private static final long OBSERVE_MILLIS = 500;

  /** A load takes the store's whole queue in the worst case; past this its answer is lost. */
  private static final long ORDER_TIMEOUT_MILLIS = 30_000;

  private static final long STOP_POLL_MILLIS = 20;

  private final AgentSettings settings;
  private final DocumentHolder documents;
  private final Clock clock;
  private final HttpClient http = new HttpClient(IO_THREADS);
  private final ScheduledExecutorService timer =
      Executors.newSingleThreadScheduledExecutor(
          Thread.ofPlatform().daemon().name("agent-timer").factory());
  private final WireServer server;
  private final AgentShell shell;
  private EndpointLoad lastReport;
  private long lastReportMillis;

  /**
   * Creates an agent that is not started.
   *
   * @param settings its settings
   * @param documents the documents in force here
   * @param sockets plain or TLS, towards entries
   * @param clock the clock
   */
  public AgentDaemon(
      AgentSettings settings, DocumentHolder documents, WireSockets sockets, Clock clock) {
    this.settings = settings;
    this.documents = documents;
    this.clock = clock;
    FencingNumber fencing = new FencingNumber(clock.millis());
    EngineOrders orders =
        new EngineOrders(settings.endpoint(), settings.endpointUri(), http, ORDER_TIMEOUT_MILLIS);
    this.shell =
        new AgentShell(
            new AgentShell.AgentSetup(
                settings.endpoint(), settings.endpointUri(), isModel(), () -> fencing),
            new AgentScheduler(schedulerSettings()),
            orders,
            http,
            this::weightsLocation,
            clock);
    this.server =
        new WireServer(settings.listen().address(), hello(), this, settings.wire(), sockets, clock);
  }

  private Message.Hello hello() {
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

  private SchedulerSettings schedulerSettings() {
    CapacitySettings capacity = settings.capacity();
    return new SchedulerSettings(
        isModel() ? capacity.slots().orElse(DEFAULT_SLOTS) : 0,
        capacity.batch().orElse(DEFAULT_BATCH),
        capacity.queueLimit(),
        capacity.minimumStayMillis(),
        capacity.tokensPerSecond(),
        capacity.loadMillis(),
        true,
        capacity.partnerShares());
  }

  /** Listens for entries. */
  public void start() {
    http.start();
    if (isModel()) {
      shell.observeEngine();
      timer.scheduleWithFixedDelay(
          shell::observeEngine, OBSERVE_MILLIS, OBSERVE_MILLIS, TimeUnit.MILLISECONDS);
    }
    timer.scheduleWithFixedDelay(this::tick, TICK_MILLIS, TICK_MILLIS, TimeUnit.MILLISECONDS);
    server.start();
    EventLog.log(
        EventType.PROCESS_STARTED,
        "role",
        "agent",
        "instance",
        settings.instance(),
        "at",
        address());
  }

  /** Takes no new work; entries are told at once. What was taken in is finished. */
  public void drain() {
    shell.leave();
    server.broadcast(new Message.Leaving());
  }

  /**
   * Drains, waits for the work in flight and ends.
   *
   * @throws InterruptedException when waiting is interrupted
   */
  public void stop() throws InterruptedException {
    drain();
    EventLog.log(
        EventType.PROCESS_STOPPING,
        "instance",
        settings.instance(),
        "requests",
        shell.outstanding());
    while (shell.outstanding() > 0) {
      Thread.sleep(STOP_POLL_MILLIS);
    }
    timer.shutdownNow();
    server.stop();
    http.stop();
    EventLog.log(EventType.PROCESS_STOPPED, "instance", settings.instance());
  }

  /**
   * Returns where entries reach this agent.
   *
   * @return its address
   */
  public InetSocketAddress address() {
    return server.boundAddress();
  }

  private void tick() {
    if (clock.millis() >= shell.nextPollMillis()) {
      shell.poll();
    }
    report();
  }

  private void report() {
    long now = clock.millis();
    if (now - lastReportMillis < REPORT_MILLIS) {
      return;
    }
    EndpointLoad load = shell.load();
    if (!load.equals(lastReport) || now - lastReportMillis >= IDLE_REPORT_MILLIS) {
      lastReport = load;
      lastReportMillis = now;
      server.broadcast(message(load));
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

  /** Returns where the weight store keeps an adapter, as its service's document says. */
  private String weightsLocation(AdapterRef adapter) {
    return documents
        .current(adapter.service())
        .filter(document -> document.kind() instanceof ServiceDocument.Kind.Model)
        .map(document -> ((ServiceDocument.Kind.Model) document.kind()).adapters())
        .map(adapters -> adapters.get(adapter.adapter()))
        .map(found -> found.weights().replace("{version}", Integer.toString(adapter.version())))
        .orElse(adapter.toString());
  }

  @Override
  public void opened(WireConnection connection, Message.Hello peer) {
    EventLog.log(EventType.PEER_CONNECTED, "peer", peer.instance());
    connection.send(message(shell.load()));
    if (shell.leaving()) {
      connection.send(new Message.Leaving());
    }
  }

  @Override
  public void received(WireConnection connection, Message message) {
    switch (message) {
      case Message.Dispatch dispatch -> shell.dispatch(connection, dispatch);
      case Message.Cancel cancel -> shell.cancel(connection, cancel.attempt());
      case Message.Credit credit -> shell.credit(connection, credit.attempt(), credit.bytes());
      case Message.CrashNotice notice -> server.broadcast(notice);
      default -> {}
    }
  }

  @Override
  public void closed(WireConnection connection, HornbeamusherException reason) {
    shell.connectionClosed(connection);
  }
}

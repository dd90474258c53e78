package org.hornbeamusher.entry;

import io.undertow.Undertow;
import io.undertow.UndertowOptions;
import io.undertow.server.HttpHandler;
import io.undertow.server.handlers.PathHandler;
import java.net.URI;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.UUID;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.random.RandomGenerator;
import org.hornbeamusher.claims.ClaimCleaner;
import org.hornbeamusher.claims.ClaimSettings;
import org.hornbeamusher.claims.ClaimStore;
import org.hornbeamusher.clock.Clock;
import org.hornbeamusher.dispatch.AgentLink;
import org.hornbeamusher.documents.ServiceDocument;
import org.hornbeamusher.events.EventLog;
import org.hornbeamusher.events.EventType;
import org.hornbeamusher.failure.HornbeamusherException;
import org.hornbeamusher.ids.ClaimToken;
import org.hornbeamusher.ids.EndpointId;
import org.hornbeamusher.ids.PoolName;
import org.hornbeamusher.ids.ServiceName;
import org.hornbeamusher.membership.RecentMaximumPeerCount;
import org.hornbeamusher.metrics.MetricsReport;
import org.hornbeamusher.metrics.ProcessMetric;
import org.hornbeamusher.operator.OperatorApi;
import org.hornbeamusher.process.HttpListener;
import org.hornbeamusher.process.ProcessServices;
import org.hornbeamusher.quarantine.QuarantineSettings;
import org.hornbeamusher.retry.RetrySettings;
import org.hornbeamusher.routing.AttemptResult;
import org.hornbeamusher.settings.EntrySettings;
import org.hornbeamusher.suspects.SuspectStore;
import org.hornbeamusher.table.Instance;
import org.hornbeamusher.wire.Message;
import org.hornbeamusher.wire.WireConnection;
import org.hornbeamusher.wire.WireSockets;

/** The entry process: serves callers and sends their requests to agents. */
public final class EntryDaemon {

  /** Oldest and newest version of the protocol between processes that this version supports. */
  public static final int PROTOCOL = 1;

  private static final long INSTANCE_POLL_MILLIS = 1_000;

  /**
   * Window of the entry counts, whose maximum is used: after an outage of the instance list, the
   * list may lack running entries for this long.
   */
  private static final long ENTRY_COUNT_WINDOW_MILLIS = 30_000;

  private static final long STOP_POLL_MILLIS = 20;

  private final EntrySettings settings;
  private final ProcessServices services;
  private final Clock clock;
  private final ClaimStore claims;
  private final ClaimCleaner cleaner;
  private final EntryDecisions decisions;
  private final AgentLinks links;
  private final ExecutorService requests = Executors.newVirtualThreadPerTaskExecutor();
  private final ScheduledExecutorService timer =
      Executors.newSingleThreadScheduledExecutor(
          Thread.ofPlatform().daemon().name("entry-timer").factory());
  private final AtomicInteger inFlight = new AtomicInteger();

  /** Recent maximum of the listed entries, at least 1; they share the polling of the table. */
  private final AtomicInteger entryCount = new AtomicInteger(1);

  private final RecentMaximumPeerCount allEntries =
      new RecentMaximumPeerCount(ENTRY_COUNT_WINDOW_MILLIS);
  private final RecentMaximumPeerCount sharingEntries =
      new RecentMaximumPeerCount(ENTRY_COUNT_WINDOW_MILLIS);

  private volatile boolean leaving;
  private final QuarantineRefusals quarantineRefusals = new QuarantineRefusals();
  private final CountDownLatch drainOrdered = new CountDownLatch(1);
  private HttpListener listener;

  /**
   * Creates an entry that is not started.
   *
   * @param settings its settings
   * @param sockets plain or TLS sockets to agents
   * @param clock the clock
   */
  public EntryDaemon(EntrySettings settings, WireSockets sockets, Clock clock) {
    this.settings = settings;
    this.clock = clock;
    this.services = new ProcessServices(settings.platform(), entryCount::get, clock);
    this.claims =
        new ClaimStore(
            services.table(),
            ClaimSettings.DEFAULT,
            clock,
            () -> new ClaimToken(UUID.randomUUID().toString()));
    this.cleaner =
        new ClaimCleaner(
            services.table(),
            ClaimSettings.DEFAULT,
            clock,
            entryCount::get,
            RandomGenerator.getDefault());
    this.decisions =
        new EntryDecisions(
            settings.zone(), Map.of(), RetrySettings.DEFAULT, QuarantineSettings.DEFAULT, clock);
    this.links =
        new AgentLinks(
            hello(settings),
            settings.wire(),
            sockets,
            clock,
            decisions,
            services.exchange(),
            this::messageReceived);
  }

  private static Message.Hello hello(EntrySettings settings) {
    return new Message.Hello(
        PROTOCOL,
        PROTOCOL,
        "entry",
        settings.instance().value(),
        ThreadLocalRandom.current().nextLong(),
        settings.zone().value(),
        "",
        "");
  }

  /** Connects to agents and listens for callers. */
  public void start() {
    services.start();
    services.processMetrics().gauge(ProcessMetric.IN_FLIGHT, inFlight::get);
    services.processMetrics().gauge(ProcessMetric.PEERS, links::connectionCount);
    claims.start();
    cleaner.start();
    timer.scheduleWithFixedDelay(
        this::pollInstances, 0, INSTANCE_POLL_MILLIS, TimeUnit.MILLISECONDS);
    listener =
        new HttpListener(
            settings.http(),
            Undertow.builder()
                .setServerOption(
                    UndertowOptions.MAX_HEADER_SIZE, settings.limits().maxHeaderBytes())
                .setServerOption(
                    UndertowOptions.REQUEST_PARSE_TIMEOUT,
                    (int) settings.limits().requestTimeoutMillis()));
    listener.start(handler());
    EventLog.log(
        EventType.PROCESS_STARTED, "role", "entry", "instance", settings.instance(), "at", uri());
  }

  /** Starts a drain: refuses new requests, while those in flight continue. */
  public void drain() {
    leaving = true;
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
   * Drains and stops: refuses new requests, waits for those in flight and stops all services.
   *
   * @throws InterruptedException when waiting for them is interrupted
   */
  public void stop() throws InterruptedException {
    drain();
    EventLog.log(
        EventType.PROCESS_STOPPING, "instance", settings.instance(), "requests", inFlight.get());
    while (inFlight.get() > 0) {
      Thread.sleep(STOP_POLL_MILLIS);
    }
    timer.shutdownNow();
    listener.stop();
    links.stop();
    requests.close();
    cleaner.stop();
    claims.stop();
    services.stop();
    EventLog.log(EventType.PROCESS_STOPPED, "instance", settings.instance());
  }

  /**
   * Returns the address at which callers reach this entry.
   *
   * @return scheme, host and port
   */
  public URI uri() {
    return listener.uri();
  }

  /**
   * Returns how many endpoints this entry currently sends requests to.
   *
   * @return the number of endpoints that are connected, reachable and not leaving
   */
  public int routableEndpointCount() {
    return links.routedCount();
  }

  /**
   * Returns how many requests are in flight.
   *
   * @return the number of requests whose response is not yet written
   */
  public int inFlight() {
    return inFlight.get();
  }

  private HttpHandler handler() {
    RequestRunner runner =
        new RequestRunner(
            decisions,
            new SuspectStore(services.table(), QuarantineSettings.DEFAULT, clock),
            new RunnerHost(),
            claims,
            clock);
    CallerApi callers =
        new CallerApi(
            new ApiHost(),
            settings.tokenDirectory(),
            runner,
            requests,
            clock,
            settings.limits().maxBodyBytes(),
            settings.limits().stallTimeoutMillis());
    OperatorApi operators =
        new OperatorApi(
            new EntryOperations(
                settings,
                services,
                links,
                quarantineRefusals,
                inFlight::get,
                () -> leaving,
                this::drain),
            settings.tokenDirectory(),
            new MetricsReport(services.metrics()));
    return operators.mount(new PathHandler(callers));
  }

  private void pollInstances() {
    services
        .instances()
        .whenComplete(
            (instances, thrown) -> {
              if (thrown == null) {
                instancesReceived(instances);
              } else {
                EventLog.log(
                    EventType.PLATFORM_OUTAGE,
                    "call",
                    "instance list",
                    "failure",
                    HornbeamusherException.from(thrown).type());
              }
            });
  }

  private synchronized void instancesReceived(List<Instance> instances) {
    long now = clock.millis();
    long listed = instances.stream().filter(i -> i.role() == Instance.Role.ENTRY).count();
    allEntries.record((int) Math.max(1, listed), now);
    sharingEntries.record(countSharingEntries(instances), now);
    entryCount.set(allEntries.maximum().orElse(1));
    decisions.setEntryCount(sharingEntries.maximum().orElse(1));
    links.updateFromList(instances.stream().filter(i -> i.role() == Instance.Role.AGENT).toList());
  }

  /** Counts the entries that share this entry's traffic: those in the same pool of entries. */
  private int countSharingEntries(List<Instance> instances) {
    Optional<PoolName> own =
        instances.stream()
            .filter(instance -> instance.id().equals(settings.instance().value()))
            .map(Instance::pool)
            .findFirst();
    long sharing =
        instances.stream()
            .filter(instance -> instance.role() == Instance.Role.ENTRY)
            .filter(instance -> own.isEmpty() || own.get().equals(instance.pool()))
            .count();
    return (int) Math.max(1, sharing);
  }

  private void messageReceived(WireConnection connection, Message message) {
    if (message instanceof Message.CrashNotice notice) {
      decisions.mergeCrashCount(notice.fingerprint(), notice.crashes());
    }
  }

  /**
   * Returns the services that every process of the system has.
   *
   * @return the services of this process
   */
  public ProcessServices services() {
    return services;
  }

  private final class RunnerHost implements RequestRunner.Host {

    @Override
    public Optional<AgentLink> link(EndpointId endpoint) {
      return links.link(endpoint);
    }

    @Override
    public void requestCompleted(ServiceName service, AttemptResult.Completed result) {
      services
          .metrics()
          .recordResponse(
              service, result.loadStallMillis(), result.firstTokenMillis(), result.totalMillis());
    }

    @Override
    public void requestQuarantined(ServiceName service, long fingerprint, long untilMillis) {
      quarantineRefusals.record(service, fingerprint, untilMillis);
    }

    @Override
    public void broadcastCrash(long fingerprint, int crashes) {
      links.broadcast(new Message.CrashNotice(fingerprint, crashes));
    }
  }

  private final class ApiHost implements CallerApi.Host {

    @Override
    public Optional<ServiceDocument> currentDocument(ServiceName service) {
      return services.documents().current(service);
    }

    @Override
    public Iterable<ServiceDocument> currentDocuments() {
      return services.documents().all();
    }

    @Override
    public boolean leaving() {
      return leaving;
    }

    @Override
    public int adjustInFlight(int change) {
      return inFlight.addAndGet(change);
    }

    @Override
    public int maxInFlight() {
      return settings.limits().maxInFlight();
    }

    @Override
    public void requestFailed(ServiceName service, HornbeamusherException failure) {
      services.metrics().recordRefusal(service, failure.type());
      EventLog.log(
          EventType.REQUEST_REFUSED,
          "service",
          service,
          "failure",
          failure.type(),
          "outcome",
          failure.outcome().label());
    }
  }
}

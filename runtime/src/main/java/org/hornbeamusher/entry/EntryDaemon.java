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

/** An entry: the process that callers reach. */
public final class EntryDaemon {

  /** Oldest and newest protocol between processes that this version speaks. */
  public static final int PROTOCOL = 1;

  private static final long INSTANCES_MILLIS = 1_000;

  /** How long the list may lack entries that are there, after an outage of its own. */
  private static final long COUNTED_MILLIS = 30_000;

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

  /** Entries in the newest list, at least this one; they share the polling of the table. */
  private final AtomicInteger entries = new AtomicInteger(1);

  private final RecentMaximumPeerCount allEntries = new RecentMaximumPeerCount(COUNTED_MILLIS);
  private final RecentMaximumPeerCount sharingEntries = new RecentMaximumPeerCount(COUNTED_MILLIS);

  private volatile boolean leaving;
  private final QuarantineLog quarantined = new QuarantineLog();
  private final CountDownLatch leaveOrdered = new CountDownLatch(1);
  private HttpListener listener;

  /**
   * Creates an entry that is not started.
   *
   * @param settings its settings
   * @param sockets plain or TLS, towards agents
   * @param clock the clock
   */
  public EntryDaemon(EntrySettings settings, WireSockets sockets, Clock clock) {
    this.settings = settings;
    this.clock = clock;
    this.services = new ProcessServices(settings.platform(), entries::get, clock);
    this.claims =
        new ClaimStore(
            services.table(),
            ClaimSettings.STANDARD,
            clock,
            () -> new ClaimToken(UUID.randomUUID().toString()));
    this.cleaner =
        new ClaimCleaner(
            services.table(),
            ClaimSettings.STANDARD,
            clock,
            entries::get,
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
            this::heard);
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
    services.processMetrics().gauge(ProcessMetric.PEERS, links::connections);
    claims.start();
    cleaner.start();
    timer.scheduleWithFixedDelay(this::followInstances, 0, INSTANCES_MILLIS, TimeUnit.MILLISECONDS);
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

  /** Takes no new requests; what is in flight goes on. */
  public void drain() {
    leaving = true;
    leaveOrdered.countDown();
  }

  /**
   * Waits until an operator makes the process leave.
   *
   * @throws InterruptedException when waiting is interrupted
   */
  public void awaitDrain() throws InterruptedException {
    leaveOrdered.await();
  }

  /**
   * Takes no new requests, finishes those in flight and ends.
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
   * Returns where callers reach this entry.
   *
   * @return its address
   */
  public URI uri() {
    return listener.uri();
  }

  /**
   * Returns how many endpoints get work from this entry now.
   *
   * @return those that are connected, reachable and not leaving
   */
  public int routableEndpointCount() {
    return links.routed();
  }

  /**
   * Returns how many requests are in flight.
   *
   * @return requests whose answer is not written
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
                settings, services, links, quarantined, inFlight::get, () -> leaving, this::drain),
            settings.tokenDirectory(),
            new MetricsReport(services.metrics()));
    return operators.mount(new PathHandler(callers));
  }

  private void followInstances() {
    services
        .instances()
        .whenComplete(
            (instances, thrown) -> {
              if (thrown == null) {
                listed(instances);
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

  private synchronized void listed(List<Instance> instances) {
    long now = clock.millis();
    long listed = instances.stream().filter(i -> i.role() == Instance.Role.ENTRY).count();
    allEntries.record((int) Math.max(1, listed), now);
    sharingEntries.record(sharing(instances), now);
    entries.set(allEntries.maximum().orElse(1));
    decisions.entryCount(sharingEntries.maximum().orElse(1));
    links.follow(instances.stream().filter(i -> i.role() == Instance.Role.AGENT).toList());
  }

  /** Counts the entries that share this one's traffic: those of the same pool of entries. */
  private int sharing(List<Instance> instances) {
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

  private void heard(WireConnection connection, Message message) {
    if (message instanceof Message.CrashNotice notice) {
      decisions.crashObserved(notice.fingerprint(), notice.crashes());
    }
  }

  /**
   * Returns what this process has in common with others.
   *
   * @return its services
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
    public void answered(ServiceName service, AttemptResult.Completed answer) {
      services
          .metrics()
          .recordResponse(
              service, answer.loadStallMillis(), answer.firstTokenMillis(), answer.totalMillis());
    }

    @Override
    public void quarantined(ServiceName service, long fingerprint, long untilMillis) {
      quarantined.refused(service, fingerprint, untilMillis);
    }

    @Override
    public void crashed(long fingerprint, int crashes) {
      links.broadcast(new Message.CrashNotice(fingerprint, crashes));
    }
  }

  private final class ApiHost implements CallerApi.Host {

    @Override
    public Optional<ServiceDocument> document(ServiceName service) {
      return services.documents().current(service);
    }

    @Override
    public Iterable<ServiceDocument> documents() {
      return services.documents().all();
    }

    @Override
    public boolean leaving() {
      return leaving;
    }

    @Override
    public int requests(int change) {
      return inFlight.addAndGet(change);
    }

    @Override
    public int mostRequests() {
      return settings.limits().maxInFlight();
    }

    @Override
    public void refused(ServiceName service, HornbeamusherException failure) {
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

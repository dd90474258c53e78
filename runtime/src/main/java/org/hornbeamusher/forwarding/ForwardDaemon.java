package org.hornbeamusher.forwarding;

import com.codahale.metrics.MetricRegistry;
import java.net.InetSocketAddress;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ThreadLocalRandom;
import java.util.function.Supplier;
import java.util.stream.Stream;
import org.hornbeamusher.availability.AvailabilityRegistry;
import org.hornbeamusher.clock.Clock;
import org.hornbeamusher.directory.Endpoint;
import org.hornbeamusher.directory.EndpointDirectory;
import org.hornbeamusher.directory.ListedEntry;
import org.hornbeamusher.directory.SoftwareHistory;
import org.hornbeamusher.directory.UnusableEntry;
import org.hornbeamusher.events.EventLog;
import org.hornbeamusher.events.EventType;
import org.hornbeamusher.failure.FailureType;
import org.hornbeamusher.failure.HornbeamusherException;
import org.hornbeamusher.features.ServingFeature;
import org.hornbeamusher.http.HttpClient;
import org.hornbeamusher.ids.EndpointId;
import org.hornbeamusher.ids.EndpointIncarnation;
import org.hornbeamusher.loop.EventLoop;
import org.hornbeamusher.memory.MemoryBudget;
import org.hornbeamusher.placement.EndpointView;
import org.hornbeamusher.placement.PlacementSettings;
import org.hornbeamusher.placement.Placer;
import org.hornbeamusher.process.MetricsListener;
import org.hornbeamusher.quarantine.CrashHistory;
import org.hornbeamusher.quarantine.QuarantineSettings;
import org.hornbeamusher.quota.QuotaMeter;
import org.hornbeamusher.quota.QuotaSettings;
import org.hornbeamusher.routes.AdapterKey;
import org.hornbeamusher.routes.Configuration;
import org.hornbeamusher.routes.ConfigurationFreshness;
import org.hornbeamusher.routes.CurrentConfiguration;
import org.hornbeamusher.routes.EngineSpec;
import org.hornbeamusher.routes.LatestAdapterVersions;
import org.hornbeamusher.routes.ServiceSpec;
import org.hornbeamusher.shares.FairShares;
import org.hornbeamusher.shares.ShareSettings;
import org.hornbeamusher.suspects.CrashRecordTable;
import org.hornbeamusher.table.Table;
import org.hornbeamusher.transfer.TransferStats;
import org.hornbeamusher.watch.TableChanges;
import org.hornbeamusher.wire.LoopTransport;
import org.hornbeamusher.wire.Message;
import org.hornbeamusher.wire.WireSettings;

/**
 * The entry on a platform that stores the configuration and the list of endpoints: accepts callers'
 * requests and forwards each to an endpoint.
 *
 * <p>Its state comes from {@link #onConfiguration}, {@link #onAdapterVersion} and {@link
 * #onEndpointList}, from the agents of the engines and from its own requests. It persists nothing.
 */
public final class ForwardDaemon implements ForwardedRequest.Listener {

  private static final int PROTOCOL = 1;

  /** The load balancer checks once a second and sends callers until two checks have failed. */
  private static final long MIN_DRAIN_MILLIS = 2_500;

  private static final long DRAIN_CHECK_MILLIS = 50;

  /** A list requested this long before the removal of missing endpoints arrives in time. */
  private static final long LIST_REFRESH_LEAD_MILLIS = 200;

  private final ForwardSettings settings;
  private final Clock clock;
  private final EventLoop loop;
  private final ForwardContext context;
  private final UnseenEngines unseenEngines;
  private final AvailabilityRegistry availability = new AvailabilityRegistry();
  private final ConfigurationFreshness freshness;
  private final AccountCheck accounts;
  private final QuotaMeter<InetSocketAddress> meter;
  private final FairShares<InetSocketAddress> shares;
  private final UsageExchange usage;
  private final MemoryBudget memory = MemoryBudget.ofHeap();
  private final SupersededVersions superseded;
  private final SoftwareHistory software = new SoftwareHistory();
  private final CrashHistory crashHistory;
  private final CrashReports crashReports;
  private final LoadCoordinator loads;
  private final ForwardServer server;
  private final MetricRegistry registry = new MetricRegistry();
  private final Optional<MetricsListener> metrics;
  private final Set<ForwardedRequest> runs = new HashSet<>();
  private final CompletableFuture<Void> drained = new CompletableFuture<>();
  private Runnable listRefresh = () -> {};
  private boolean draining;
  private long drainStartMillis;

  /** Whether the last request for the configuration failed. */
  private boolean configurationUnreachable;

  /**
   * Whether the first request for the crash records was answered or failed. Callers that waited for
   * the start could otherwise repeat a request that all other entries refuse.
   */
  private boolean crashRecordsAnswered;

  /** Whether callers with keys were served at the last readiness check. */
  private boolean keysConfirmed = true;

  /**
   * Creates an entry that is not started.
   *
   * @param settings the settings
   * @param dialect reads and writes the headers of callers and endpoints
   * @param http a started client with a single I/O thread
   * @param table the platform's table service
   * @param clock monotonic
   * @param elapsed monotonic, including time for which the instance was suspended
   * @param serviceClock the clock of the table service
   */
  public ForwardDaemon(
      ForwardSettings settings,
      HeaderCodec dialect,
      HttpClient http,
      Table table,
      Clock clock,
      Clock elapsed,
      Clock serviceClock) {
    this.settings = settings;
    this.clock = clock;
    this.loop = http.loop();
    this.freshness = new ConfigurationFreshness(elapsed);
    this.superseded = new SupersededVersions(settings.versionGraceMillis());
    this.meter =
        new QuotaMeter<>(
            QuotaSettings.DEFAULT,
            settings.quotas(),
            () -> ThreadLocalRandom.current().nextDouble());
    this.accounts = new AccountCheck(freshness, settings.revocation());
    Placer placer = new Placer(PlacementSettings.DEFAULT, settings.zone());
    AgentConnections agents =
        new AgentConnections(
            placer.views(),
            hello(settings),
            new LoopTransport(http.worker(), WireSettings.DEFAULT, clock),
            loop,
            clock);
    this.shares = new FairShares<>(ShareSettings.DEFAULT);
    this.usage = new UsageExchange(meter, shares, QuotaSettings.DEFAULT, agents::send, loop, clock);
    agents.setUsageListener(usage);
    ForwardMetrics counts = new ForwardMetrics(registry);
    EndpointRateLimiter limits = new EndpointRateLimiter(agents, counts, loop, clock);
    agents.setPermitListener(limits);
    this.loads = new LoadCoordinator(agents::send, counts, loop, clock);
    if (settings.features().uses(ServingFeature.RECOVERY)) {
      agents.setLoadListener(loads);
    }
    this.crashHistory = new CrashHistory(QuarantineSettings.WITHOUT_ISOLATION);
    this.crashReports =
        new CrashReports(crashHistory, new CrashRecordTable(table), agents::send, loop, clock);
    agents.setCrashListener(crashReports);
    CurrentConfiguration configuration = new CurrentConfiguration();
    RequestCrashes crashes =
        new RequestCrashes(
            crashHistory,
            crashReports,
            new EndpointHealthCheck(configuration, dialect, http),
            incarnation -> isListed(placer, incarnation),
            counts,
            loop,
            clock,
            serviceClock);
    LatestAdapterVersions versions = new LatestAdapterVersions();
    EndpointDirectory directory = new EndpointDirectory(settings.list());
    StreamOrigins streams =
        new StreamOrigins(
            agents,
            software,
            directory::endpoints,
            new SoftwareVersionTable(table),
            new StreamOriginTable(table, incarnationName(settings), serviceClock),
            counts,
            loop,
            clock);
    agents.setOriginListener(streams::received);
    this.context =
        new ForwardContext(
            configuration,
            new RequestAdmission(
                configuration,
                versions,
                superseded,
                accounts,
                meter,
                usage,
                new RequestShares(sharesUsed(), shares, counts, clock),
                clock),
            versions,
            directory,
            placer,
            agents,
            limits,
            new EndpointStateUpdater(limits, crashes, clock),
            new SharedRetryBudget(settings.retries(), clock.millis()),
            crashes,
            new RefusalDecisions(
                settings.features(),
                placer,
                agents::entries,
                () -> ThreadLocalRandom.current().nextDouble(),
                counts),
            streams,
            dialect,
            http,
            counts,
            loop,
            clock);
    this.unseenEngines =
        new UnseenEngines(
            new EngineReachabilityCheck(settings.engineCheckPath(), dialect, http, loop),
            new UnreachableEngines(),
            loop,
            clock);
    context.agents().setIncarnationListener(new IncarnationUpdates());
    this.metrics =
        settings.metricsAddress().map(at -> new MetricsListener(at, http.worker(), registry));
    this.server =
        new ForwardServer(
            settings,
            http.worker(),
            clock,
            loop,
            memory,
            this::accept,
            this::hasInitialState,
            this::ready);
  }

  private static String incarnationName(ForwardSettings settings) {
    long start = ThreadLocalRandom.current().nextLong();
    return settings.instance() + "." + Long.toHexString(start);
  }

  private boolean sharesUsed() {
    return settings.features().uses(ServingFeature.FAIR_SHARES);
  }

  private static boolean isListed(Placer placer, EndpointIncarnation incarnation) {
    EndpointView view = placer.views().get(incarnation.id());
    boolean noList = placer.views().isEmpty();
    return noList || (view != null && view.incarnation().maybeSameAs(incarnation));
  }

  private static Message.Hello hello(ForwardSettings settings) {
    return new Message.Hello(
        PROTOCOL,
        PROTOCOL,
        "entry",
        settings.instance(),
        ThreadLocalRandom.current().nextLong(),
        settings.zone(),
        "",
        "");
  }

  /** Starts the listeners. */
  public void start() {
    server.start();
    context.streams().start();
    metrics.ifPresent(listener -> listener.startDelayed(loop));
    ForwardMetrics measured = context.metrics();
    measured.gauge("running", runs::size);
    measured.gauge("memory_used", memory::usedBytes);
    measured.gauge("memory_capacity", memory::capacityBytes);
    measured.gauge("endpoints", context.placer().views()::size);
    measured.gauge("limited_endpoints", context.placer()::limitedEndpoints);
    measured.gauge("backoff_endpoints", () -> context.placer().backoffEndpoints(clock.millis()));
    measured.gauge("leaving_endpoints", context.placer()::leavingEndpoints);
    measured.gauge("missing_endpoints", context.directory()::missingEndpoints);
    measured.gauge("unseen_engines", unseenEngines::size);
    measured.gauge("unusable_entries", context.directory()::unusableEntries);
    measured.gauge("quarantined_contents", () -> crashHistory.quarantined().size());
    measured.gauge("store_loads", loads::loadsInProgress);
    measured.gauge("store_load_limit", loads::concurrencyLimit);
    measured.gauge("retry_entries", context.agents()::entries);
    measured.gauge("promised_returns_ms", () -> context.refusals().promisedMillis(clock.millis()));
    measured.gauge("list_age_ms", () -> context.directory().ageMillis(clock.millis()));
    measured.gauge("key_proof_age_ms", accounts::proofAgeMillis);
    measured.gauge("configuration_age_ms", freshness::ageMillis);
    measured.gauge("quota_entries", () -> meter.entryCount());
    measured.gauge("shares", shares::size);
    measured.gauge("quota_reachable_entries", () -> meter.reachableEntryCount(clock.millis()));
    measured.gauge(
        "configuration",
        () -> context.configuration().current().map(Configuration::version).orElse(0L));
    EventLog.log(
        EventType.PROCESS_STARTED,
        "role",
        "entry",
        "instance",
        settings.instance(),
        "zone",
        settings.zone(),
        "callers",
        settings.callerAddress());
  }

  /**
   * Applies a configuration that was read.
   *
   * @param configuration any version; ignored if older than the current one
   * @param revision the revision of its row
   * @param transfer size and duration of the transfer
   */
  public void onConfiguration(Configuration configuration, long revision, TransferStats transfer) {
    freshness.read();
    if (context.configuration().offer(configuration, revision)) {
      EventLog.log(
          EventType.CONFIGURATION_IN_FORCE,
          "version",
          configuration.version(),
          "services",
          configuration.services().size(),
          "read_bytes",
          transfer.bytes(),
          "read_ms",
          transfer.millis());
      meter.updateAccounts(configuration.accounts().accounts(), clock.millis());
      usage.start(sharesUsed() && configuration.accounts().keyRequired());
      apply(context.directory().servicesChanged(configuration.services().keySet()));
      connectAgents();
      openWhenReady();
    }
  }

  /** Writes again what this entry wrote: the table service was restored from a copy. */
  public void onStoreRestored() {
    loop.execute(context.streams()::tablesRestored);
  }

  /** Records that the newest configuration cannot be parsed; the current one is kept. */
  public void configurationUnreadable() {
    freshness.superseded();
  }

  /**
   * Records that no configuration newer than those passed to {@link #onConfiguration} existed when
   * a request was sent.
   *
   * @param askedMillis when the request was sent, by the clock that includes suspended time
   */
  public void configurationConfirmed(long askedMillis) {
    configurationUnreachable = false;
    freshness.confirmed(askedMillis);
  }

  /** Records that a request for the configuration failed. */
  public void configurationUnreachable() {
    configurationUnreachable = true;
  }

  /**
   * Applies a version of an adapter.
   *
   * @param adapter the adapter
   * @param version any version; ignored if older than the current one
   */
  public void onAdapterVersion(AdapterKey adapter, long version) {
    if (context.versions().offer(adapter, version)) {
      superseded.received(adapter, version, clock.millis());
      EventLog.log(EventType.VERSION_IN_FORCE, "adapter", adapter, "version", version);
    }
  }

  /**
   * Applies a list of endpoints.
   *
   * @param entries all entries of the list
   * @param askedMillis when the list was requested, by the monotonic clock
   */
  public void onEndpointList(List<? extends ListedEntry> entries, long askedMillis) {
    software.listReceived(askedMillis);
    EndpointDirectory.Change change =
        context.directory().listReceived(entries, askedMillis, clock.millis());
    apply(change);
    context.streams().listReceived(askedMillis);
    long keptMillis = change.missing().keptMillis();
    if (keptMillis > 0) {
      loop.after(Math.max(0, keptMillis - LIST_REFRESH_LEAD_MILLIS), listRefresh);
      loop.after(keptMillis, this::expireMissing);
    }
    openWhenReady();
  }

  /**
   * Sets how to request a list ahead of schedule.
   *
   * @param refresh requests a list at once
   */
  public void setListRefresh(Runnable refresh) {
    listRefresh = refresh;
    context.streams().setListRefresh(refresh);
  }

  /**
   * Records that a request for the list of endpoints failed.
   *
   * @param askedMillis when it was sent, by the monotonic clock
   */
  public void onListRequestFailed(long askedMillis) {
    context.directory().listReadFailed(askedMillis);
  }

  /**
   * Sets the source of the metric for the age of the table of crash records.
   *
   * @param ageMillis returns milliseconds
   */
  public void setCrashRecordAge(Supplier<Number> ageMillis) {
    context.metrics().gauge("crash_records_age_ms", ageMillis);
  }

  /**
   * Applies rows of the table of crash records.
   *
   * @param rows all rows or the changed ones
   */
  public void onCrashRecords(TableChanges rows) {
    crashReports.tableRead(rows);
    onCrashRecordsAnswered();
  }

  /** Records that a request for the crash records failed. */
  public void onCrashRecordsFailed() {
    onCrashRecordsAnswered();
  }

  private void onCrashRecordsAnswered() {
    if (!crashRecordsAnswered) {
      crashRecordsAnswered = true;
      openWhenReady();
    }
  }

  private void expireMissing() {
    apply(context.directory().expire(clock.millis()));
  }

  private void openWhenReady() {
    if (ready()) {
      server.open();
    }
  }

  private void apply(EndpointDirectory.Change change) {
    recordSoftware(change);
    change.changed().forEach(this::changed);
    for (Endpoint gone : change.removed()) {
      Optional.ofNullable(context.placer().views().remove(gone.id()))
          .ifPresent(EndpointView::markRemoved);
      if (!change.ended().contains(gone.incarnation())) {
        EndpointLog.ended(
            gone.incarnation(), "not-listed", context.directory().ageMillis(clock.millis()));
        context.crashes().incarnationEnded(gone.incarnation(), "not-listed");
      }
    }
    if (!change.removed().isEmpty() || !change.changed().isEmpty()) {
      connectAgents();
    }
    change.ended().forEach(this::incarnationEnded);
    change.unusable().forEach(this::unusable);
    EndpointLog.missing(change.missing());
  }

  private void recordSoftware(EndpointDirectory.Change change) {
    long now = clock.millis();
    change.removed().forEach(endpoint -> software.removed(endpoint, now));
    change.changed().forEach(endpoint -> software.changed(endpoint, now));
    Stream.concat(change.removed().stream(), change.changed().stream())
        .map(Endpoint::service)
        .distinct()
        .forEach(context.streams()::endpointsChanged);
  }

  private void unusable(UnusableEntry entry) {
    context.metrics().entryUnusable();
    EndpointLog.unusable(entry);
  }

  private void incarnationEnded(EndpointIncarnation incarnation) {
    EndpointLog.ended(incarnation, "restarted", context.directory().ageMillis(clock.millis()));
    context.crashes().incarnationEnded(incarnation, "restarted");
    List.copyOf(runs).forEach(run -> run.incarnationEnded(incarnation));
  }

  private void changed(Endpoint endpoint) {
    EndpointView known = context.placer().views().get(endpoint.id());
    boolean newIncarnation =
        known == null || !known.incarnation().maybeSameAs(endpoint.incarnation());
    boolean significant = newIncarnation || known.endpoint().leaving() != endpoint.leaving();
    if (newIncarnation) {
      EndpointView created = view(endpoint);
      created.updateFromList(endpoint, clock.millis());
      context.placer().views().put(endpoint.id(), created);
      context.agents().endpointListed(endpoint);
    } else {
      known.updateFromList(endpoint, clock.millis());
      availability.of(endpoint.incarnation());
    }
    if (significant) {
      EndpointLog.changed(endpoint);
    }
  }

  private EndpointView view(Endpoint endpoint) {
    int adapterSlots = engine(endpoint).map(EngineSpec::adapterCapacity).orElse(0);
    return new EndpointView(
        endpoint, memoryTokens(endpoint), adapterSlots, availability.of(endpoint.incarnation()));
  }

  private long memoryTokens(Endpoint endpoint) {
    return engine(endpoint).map(EngineSpec::memoryTokens).orElse(0L);
  }

  private Optional<EngineSpec> engine(Endpoint endpoint) {
    return context
        .configuration()
        .current()
        .flatMap(configuration -> configuration.service(endpoint.service()))
        .flatMap(ServiceSpec::engine);
  }

  /** Connects to the agents of engines; endpoints of plain services have no agent. */
  private void connectAgents() {
    List<InetSocketAddress> addresses =
        context.directory().endpoints().stream()
            .filter(endpoint -> memoryTokens(endpoint) > 0)
            .map(e -> new InetSocketAddress(e.uri().getHost(), settings.agentPort()))
            .toList();
    context.agents().connect(addresses);
  }

  private boolean hasInitialState() {
    return crashRecordsAnswered && context.configuration().current().isPresent();
  }

  private boolean ready() {
    return !draining
        && hasInitialState()
        && !context.placer().views().isEmpty()
        && !keysUnconfirmed();
  }

  /** Whether callers with keys are refused now, or will be before the balancer redirects them. */
  private boolean keysUnconfirmed() {
    boolean required =
        context.configuration().current().filter(c -> c.accounts().keyRequired()).isPresent();
    boolean confirmed =
        !required || (accounts.confirmed() && !(configurationUnreachable && accounts.expiring()));
    if (confirmed != keysConfirmed) {
      keysConfirmed = confirmed;
      EventLog.log(
          confirmed ? EventType.KEYS_CONFIRMED : EventType.KEYS_UNCONFIRMED,
          "proof_age_ms",
          accounts.proofAgeMillis(),
          "configuration",
          context.configuration().current().map(Configuration::version).orElse(0L));
    }
    return !confirmed;
  }

  /**
   * Returns whether a request is refused because of the drain. One that arrives on a persistent
   * connection long after the balancer has stopped sending callers could not be finished in the
   * remaining time, so it is refused before it runs.
   */
  private boolean tooLateInDrain() {
    return draining && clock.millis() - drainStartMillis >= MIN_DRAIN_MILLIS;
  }

  private void accept(CallerRequest request, CallerResponse caller) {
    if (tooLateInDrain()) {
      EventLog.log(EventType.REQUEST_REFUSED, "path", request.path(), "cause", "shutting-down");
      caller.refuse(HornbeamusherException.notRun(FailureType.SHUTTING_DOWN).retryAfter(0), true);
      return;
    }
    ForwardedRequest run = new ForwardedRequest(context, request, caller, this);
    runs.add(run);
    run.start();
  }

  @Override
  public boolean draining() {
    return draining;
  }

  @Override
  public boolean stopsBefore(long millis) {
    return draining && drainStartMillis + settings.drainMillis() < millis;
  }

  @Override
  public void ended(ForwardedRequest run, String cause) {
    runs.remove(run);
  }

  /**
   * Stops accepting callers, finishes the running requests and writes what is known of crashes.
   *
   * @return completes when that is done or when the drain time is over
   */
  public CompletableFuture<Void> drain() {
    loop.execute(
        () -> {
          if (!draining) {
            draining = true;
            drainStartMillis = clock.millis();
            EventLog.log(EventType.PROCESS_STOPPING, "role", "entry", "running", runs.size());
            crashReports.entryEnds();
            List.copyOf(runs).forEach(ForwardedRequest::drainStarted);
            checkDrained();
          }
        });
    return drained;
  }

  private void checkDrained() {
    long since = clock.millis() - drainStartMillis;
    boolean late = since >= settings.drainMillis();
    if (late) {
      Set.copyOf(runs).forEach(ForwardedRequest::abort);
    }
    boolean finished = runs.isEmpty() && memory.usedBytes() == 0 && !crashReports.hasUnwritten();
    if (late || (finished && since >= MIN_DRAIN_MILLIS)) {
      EventLog.log(EventType.PROCESS_STOPPED, "role", "entry", "after_ms", since);
      context.agents().notifyLeaving();
      drained.complete(null);
      return;
    }
    loop.after(DRAIN_CHECK_MILLIS, this::checkDrained);
  }

  /** Closes all listeners and connections. */
  public void stop() {
    server.stop();
    metrics.ifPresent(MetricsListener::stop);
    context.agents().stop();
  }

  private boolean isAffected(EndpointView engine) {
    EndpointIncarnation incarnation = engine.incarnation();
    return context.crashes().hasLosses(incarnation)
        || runs.stream().anyMatch(run -> run.isRunningAt(incarnation));
  }

  private void unreachable(EndpointIncarnation incarnation) {
    context.crashes().incarnationEnded(incarnation, "not-seen");
    List.copyOf(runs).forEach(run -> run.endpointUnreachable(incarnation));
  }

  /** Applies the decisions about engines that their agents cannot reach. */
  private final class UnreachableEngines implements UnseenEngines.Listener {

    @Override
    public boolean isAffected(EndpointView engine) {
      return ForwardDaemon.this.isAffected(engine);
    }

    @Override
    public void unreachable(EndpointView engine) {
      ForwardDaemon.this.unreachable(engine.incarnation());
    }
  }

  /** Applies what agents report about the incarnations of their engines. */
  private final class IncarnationUpdates implements AgentConnections.IncarnationListener {

    @Override
    public void incarnationSeen(EndpointIncarnation incarnation, String address) {
      EndpointView view = context.placer().views().get(incarnation.id());
      if (view != null && view.incarnation().maybeSameAs(incarnation)) {
        context.crashes().seen(view.incarnation());
      }
      unseenEngines.seen(incarnation);
      apply(context.directory().agentReported(incarnation, address, clock.millis()));
    }

    /** The requests running there may be lost; the incarnation may be seen again. */
    @Override
    public void incarnationLost(EndpointIncarnation incarnation) {
      EndpointView view = context.placer().views().get(incarnation.id());
      boolean known = view != null && view.incarnation().maybeSameAs(incarnation);
      if (known) {
        view.markEndedByAgent();
      }
      context.directory().agentLost(incarnation.id());
      EndpointLog.ended(incarnation, "not-seen", context.directory().ageMillis(clock.millis()));
      if (known && isAffected(view)) {
        unseenEngines.unseen(view);
      } else {
        unreachable(incarnation);
      }
    }

    @Override
    public void agentLost(EndpointId id) {
      context.directory().agentLost(id);
    }
  }
}

package org.hornbeamusher.forwarding;

import com.codahale.metrics.MetricRegistry;
import java.net.InetSocketAddress;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ThreadLocalRandom;
import org.hornbeamusher.availability.AvailabilityRegister;
import org.hornbeamusher.clock.Clock;
import org.hornbeamusher.directory.Endpoint;
import org.hornbeamusher.directory.EndpointDirectory;
import org.hornbeamusher.directory.ListedEntry;
import org.hornbeamusher.directory.UnusableEntry;
import org.hornbeamusher.events.EventLog;
import org.hornbeamusher.events.EventType;
import org.hornbeamusher.failure.FailureType;
import org.hornbeamusher.failure.HornbeamusherException;
import org.hornbeamusher.http.HttpClient;
import org.hornbeamusher.ids.EndpointId;
import org.hornbeamusher.ids.EndpointLife;
import org.hornbeamusher.loop.EventLoop;
import org.hornbeamusher.placement.EndpointView;
import org.hornbeamusher.placement.PlacementSettings;
import org.hornbeamusher.placement.Placer;
import org.hornbeamusher.process.MetricsListener;
import org.hornbeamusher.quota.QuotaMeter;
import org.hornbeamusher.quota.QuotaSettings;
import org.hornbeamusher.routes.AdapterKey;
import org.hornbeamusher.routes.Configuration;
import org.hornbeamusher.routes.ConfigurationFreshness;
import org.hornbeamusher.routes.ConfigurationInForce;
import org.hornbeamusher.routes.EngineSpec;
import org.hornbeamusher.routes.ServiceSpec;
import org.hornbeamusher.routes.VersionsInForce;
import org.hornbeamusher.transfer.Transfer;
import org.hornbeamusher.wire.LoopTransport;
import org.hornbeamusher.wire.Message;
import org.hornbeamusher.wire.WireSettings;

/**
 * The entry on a platform that keeps configuration and endpoints: takes callers' requests and sends
 * each to an endpoint.
 *
 * <p>Everything it knows it is told by the methods {@link #configured}, {@link #versioned} and
 * {@link #listed}, by the agents beside the engines, and by its own requests. It keeps nothing.
 */
public final class ForwardDaemon implements ForwardRun.Listener {

  private static final int PROTOCOL = 1;

  /** The balancer asks once a second and needs two refusals; until then callers still come. */
  private static final long LEAST_DRAIN_MILLIS = 2_500;

  private static final long DRAIN_CHECK_MILLIS = 50;

  /** A list that is asked for so long before missing endpoints are removed arrives in time. */
  private static final long REFRESH_MILLIS = 200;

  private final ForwardSettings settings;
  private final Clock clock;
  private final EventLoop loop;
  private final ForwardState state;
  private final AvailabilityRegister availability = new AvailabilityRegister();
  private final ConfigurationFreshness freshness;
  private final AccountCheck accounts;
  private final QuotaMeter<InetSocketAddress> meter;
  private final UsageExchange usage;
  private final ForwardServer server;
  private final MetricRegistry registry = new MetricRegistry();
  private final Optional<MetricsListener> metrics;
  private final Set<ForwardRun> runs = new HashSet<>();
  private final CompletableFuture<Void> drained = new CompletableFuture<>();
  private Runnable listRefresh = () -> {};
  private boolean leaving;
  private long leaveMillis;

  /** Whether the last question for the configuration failed. */
  private boolean configurationUnreachable;

  /** Whether keyed callers were served when the balancer asked last. */
  private boolean keysConfirmed = true;

  /**
   * Creates an entry that is not started.
   *
   * @param settings its instance
   * @param dialect the headers of callers and endpoints
   * @param http a started client with a single I/O thread
   * @param clock monotonic
   * @param elapsed monotonic, and counts the time for which the instance was suspended
   */
  public ForwardDaemon(
      ForwardSettings settings, Dialect dialect, HttpClient http, Clock clock, Clock elapsed) {
    this.settings = settings;
    this.clock = clock;
    this.loop = http.loop();
    this.freshness = new ConfigurationFreshness(elapsed);
    this.meter = new QuotaMeter<>(QuotaSettings.DEFAULT, settings.quotas());
    this.accounts = new AccountCheck(freshness, settings.revocation());
    Placer placer = new Placer(PlacementSettings.DEFAULT, settings.zone());
    EngineAgents agents =
        new EngineAgents(
            placer.views(),
            hello(settings),
            new LoopTransport(http.worker(), WireSettings.DEFAULT, clock),
            loop,
            clock);
    this.usage = new UsageExchange(meter, QuotaSettings.DEFAULT, agents::send, loop, clock);
    agents.usage(usage);
    ForwardMetrics counts = new ForwardMetrics(registry);
    EndpointLimits limits = new EndpointLimits(agents, counts, loop, clock);
    agents.permits(limits);
    ConfigurationInForce configuration = new ConfigurationInForce();
    VersionsInForce versions = new VersionsInForce();
    this.state =
        new ForwardState(
            configuration,
            new RequestIntake(configuration, versions, accounts, meter, usage, clock),
            versions,
            new EndpointDirectory(settings.list()),
            placer,
            agents,
            limits,
            new AnswerStatements(limits, clock),
            new RepeatAllowance(settings.repeats()),
            dialect,
            http,
            counts,
            loop,
            clock);
    state.agents().listener(new Lives());
    this.metrics = settings.metrics().map(at -> new MetricsListener(at, http.worker(), registry));
    this.server =
        new ForwardServer(
            settings,
            http.worker(),
            clock,
            loop,
            this::accept,
            this::hasConfiguration,
            this::ready);
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

  /** Listens. */
  public void start() {
    server.start();
    metrics.ifPresent(listener -> listener.startLater(loop));
    ForwardMetrics measured = state.metrics();
    measured.gauge("running", runs::size);
    measured.gauge("endpoints", state.placer().views()::size);
    measured.gauge("limited_endpoints", state.placer()::limitedEndpoints);
    measured.gauge("backoff_endpoints", () -> state.placer().backoffEndpoints(clock.millis()));
    measured.gauge("leaving_endpoints", state.placer()::leavingEndpoints);
    measured.gauge("missing_endpoints", state.directory()::missingEndpoints);
    measured.gauge("unusable_entries", state.directory()::unusableEntries);
    measured.gauge("list_age_ms", () -> state.directory().ageMillis(clock.millis()));
    measured.gauge("key_proof_age_ms", accounts::proofAgeMillis);
    measured.gauge("configuration_age_ms", freshness::ageMillis);
    measured.gauge("quota_entries", () -> meter.entries());
    measured.gauge("quota_reachable_entries", () -> meter.reachable(clock.millis()));
    measured.gauge(
        "configuration",
        () -> state.configuration().current().map(Configuration::version).orElse(0L));
    EventLog.log(
        EventType.PROCESS_STARTED,
        "role",
        "entry",
        "instance",
        settings.instance(),
        "zone",
        settings.zone(),
        "callers",
        settings.callers());
  }

  /**
   * Takes a configuration that was read.
   *
   * @param configuration any version; an older one than that in force is ignored
   * @param transfer what the answer that held it took to arrive
   */
  public void configured(Configuration configuration, Transfer transfer) {
    freshness.read();
    if (state.configuration().offer(configuration)) {
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
      meter.configured(configuration.accounts().accounts(), clock.millis());
      usage.start();
      apply(state.directory().configured(configuration.services().keySet()));
      connectAgents();
      openWhenReady();
    }
  }

  /** Takes note that the newest configuration cannot be read; the one in force stays. */
  public void configurationUnreadable() {
    freshness.superseded();
  }

  /**
   * Takes note that no newer configuration than those given to {@link #configured} was acknowledged
   * at some moment.
   *
   * @param askedMillis when the question was sent that showed it, by the clock that counts
   *     suspended time
   */
  public void configurationConfirmed(long askedMillis) {
    configurationUnreachable = false;
    freshness.confirmed(askedMillis);
  }

  /** Takes note that a question for the configuration was not answered. */
  public void configurationUnreachable() {
    configurationUnreachable = true;
  }

  /**
   * Takes a version of an adapter.
   *
   * @param adapter the adapter
   * @param version any version; an older one than that in force is ignored
   */
  public void versioned(AdapterKey adapter, long version) {
    if (state.versions().offer(adapter, version)) {
      EventLog.log(EventType.VERSION_IN_FORCE, "adapter", adapter, "version", version);
    }
  }

  /**
   * Takes a list of endpoints.
   *
   * @param entries every entry of the list
   * @param askedMillis when the list was asked for, by the monotonic clock
   */
  public void listed(List<? extends ListedEntry> entries, long askedMillis) {
    EndpointDirectory.Change change =
        state.directory().listed(entries, askedMillis, clock.millis());
    apply(change);
    long keptMillis = change.absence().keptMillis();
    if (keptMillis > 0) {
      loop.after(Math.max(0, keptMillis - REFRESH_MILLIS), listRefresh);
      loop.after(keptMillis, this::expireMissing);
    }
    openWhenReady();
  }

  /**
   * Sets how a list is asked for before its time.
   *
   * @param refresh asks for one at once
   */
  public void listRefresh(Runnable refresh) {
    listRefresh = refresh;
  }

  /**
   * Takes note that a question for the list of endpoints was not answered.
   *
   * @param askedMillis when it was sent, by the monotonic clock
   */
  public void listUnanswered(long askedMillis) {
    state.directory().unanswered(askedMillis);
  }

  private void expireMissing() {
    apply(state.directory().expire(clock.millis()));
  }

  private void openWhenReady() {
    if (ready()) {
      server.open();
    }
  }

  private void apply(EndpointDirectory.Change change) {
    change.changed().forEach(this::changed);
    for (Endpoint gone : change.gone()) {
      Optional.ofNullable(state.placer().views().remove(gone.id()))
          .ifPresent(EndpointView::removed);
      if (!change.ended().contains(gone.life())) {
        EndpointLog.ended(gone.life(), "not-listed", state.directory().ageMillis(clock.millis()));
      }
    }
    if (!change.gone().isEmpty() || !change.changed().isEmpty()) {
      connectAgents();
    }
    change.ended().forEach(this::lifeEnded);
    change.unusable().forEach(this::unusable);
    EndpointLog.missing(change.absence());
  }

  private void unusable(UnusableEntry entry) {
    state.metrics().entryUnusable();
    EndpointLog.unusable(entry);
  }

  private void lifeEnded(EndpointLife life) {
    EndpointLog.ended(life, "restarted", state.directory().ageMillis(clock.millis()));
    List.copyOf(runs).forEach(run -> run.lifeEnded(life));
  }

  private void changed(Endpoint endpoint) {
    EndpointView known = state.placer().views().get(endpoint.id());
    boolean another = known == null || !known.life().sameAs(endpoint.life());
    boolean news = another || known.endpoint().leaving() != endpoint.leaving();
    if (another) {
      EndpointView created = view(endpoint);
      created.listed(endpoint, clock.millis());
      state.placer().views().put(endpoint.id(), created);
      state.agents().listed(endpoint);
    } else {
      known.listed(endpoint, clock.millis());
      availability.of(endpoint.life());
    }
    if (news) {
      EndpointLog.changed(endpoint);
    }
  }

  private EndpointView view(Endpoint endpoint) {
    int places = engine(endpoint).map(EngineSpec::adapterPlaces).orElse(0);
    return new EndpointView(endpoint, memory(endpoint), places, availability.of(endpoint.life()));
  }

  private long memory(Endpoint endpoint) {
    return engine(endpoint).map(EngineSpec::memoryTokens).orElse(0L);
  }

  private Optional<EngineSpec> engine(Endpoint endpoint) {
    return state
        .configuration()
        .current()
        .flatMap(configuration -> configuration.service(endpoint.service()))
        .flatMap(ServiceSpec::engine);
  }

  /** Agents stand beside engines only; a plain service has none to connect to. */
  private void connectAgents() {
    List<InetSocketAddress> addresses =
        state.directory().endpoints().stream()
            .filter(endpoint -> memory(endpoint) > 0)
            .map(e -> new InetSocketAddress(e.uri().getHost(), settings.agentPort()))
            .toList();
    state.agents().connect(addresses);
  }

  private boolean hasConfiguration() {
    return state.configuration().current().isPresent();
  }

  private boolean ready() {
    return !leaving && hasConfiguration() && !state.placer().views().isEmpty() && !unconfirmed();
  }

  /** Callers with keys would be refused here, now or before the balancer could send them away. */
  private boolean unconfirmed() {
    boolean required =
        state.configuration().current().filter(c -> c.accounts().required()).isPresent();
    boolean confirmed =
        !required || (accounts.confirmed() && !(configurationUnreachable && accounts.expiring()));
    if (confirmed != keysConfirmed) {
      keysConfirmed = confirmed;
      EventLog.log(
          confirmed ? EventType.KEYS_CONFIRMED : EventType.KEYS_UNCONFIRMED,
          "proof_age_ms",
          accounts.proofAgeMillis(),
          "configuration",
          state.configuration().current().map(Configuration::version).orElse(0L));
    }
    return !confirmed;
  }

  /**
   * A request that comes on a kept connection long after the balancer has stopped sending callers
   * could not be ended in the time that is left; it is refused while that is still true to say.
   */
  private boolean tooLate() {
    return leaving && clock.millis() - leaveMillis >= LEAST_DRAIN_MILLIS;
  }

  private void accept(CallerRequest request, CallerAnswer caller) {
    if (tooLate()) {
      EventLog.log(EventType.REQUEST_REFUSED, "path", request.path(), "cause", "shutting-down");
      caller.refuse(HornbeamusherException.notRun(FailureType.SHUTTING_DOWN).retryAfter(0), true);
      return;
    }
    ForwardRun run = new ForwardRun(state, request, caller, this);
    runs.add(run);
    run.start();
  }

  @Override
  public boolean leaving() {
    return leaving;
  }

  @Override
  public void ended(ForwardRun run, String cause) {
    runs.remove(run);
  }

  /**
   * Takes no new callers and ends what is under way.
   *
   * @return completes when nothing is left, or when the time that the instance has is nearly over
   */
  public CompletableFuture<Void> drain() {
    loop.execute(
        () -> {
          if (!leaving) {
            leaving = true;
            leaveMillis = clock.millis();
            EventLog.log(EventType.PROCESS_STOPPING, "role", "entry", "running", runs.size());
            checkDrained();
          }
        });
    return drained;
  }

  private void checkDrained() {
    long since = clock.millis() - leaveMillis;
    boolean late = since >= settings.drainMillis();
    if (late) {
      Set.copyOf(runs).forEach(ForwardRun::abort);
    }
    if (late || (runs.isEmpty() && since >= LEAST_DRAIN_MILLIS)) {
      EventLog.log(EventType.PROCESS_STOPPED, "role", "entry", "after_ms", since);
      state.agents().leaving();
      drained.complete(null);
      return;
    }
    loop.after(DRAIN_CHECK_MILLIS, this::checkDrained);
  }

  /** Closes everything. */
  public void stop() {
    server.stop();
    metrics.ifPresent(MetricsListener::stop);
    state.agents().stop();
  }

  /** Takes what the agents say of the lives of their engines. */
  private final class Lives implements EngineAgents.Listener {

    @Override
    public void seen(EndpointLife life, String address) {
      apply(state.directory().agentReported(life, address, clock.millis()));
    }

    /** What ran there is lost, as far as anyone can tell; the life itself may be seen again. */
    @Override
    public void unseen(EndpointLife life) {
      EndpointView view = state.placer().views().get(life.id());
      if (view != null && view.life().sameAs(life)) {
        view.endedByAgent();
      }
      state.directory().agentLost(life.id());
      EndpointLog.ended(life, "not-seen", state.directory().ageMillis(clock.millis()));
      List.copyOf(runs).forEach(run -> run.endpointLost(life));
    }

    @Override
    public void agentLost(EndpointId id) {
      state.directory().agentLost(id);
    }
  }
}

package org.hornbeamusher.demo;

import java.net.InetSocketAddress;
import java.net.URI;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Stream;
import org.hornbeamusher.agent.AgentDaemon;
import org.hornbeamusher.clock.Clock;
import org.hornbeamusher.clock.SystemClock;
import org.hornbeamusher.documents.DocumentStore;
import org.hornbeamusher.documents.Principal;
import org.hornbeamusher.documents.SubmitResult;
import org.hornbeamusher.entry.EntryDaemon;
import org.hornbeamusher.failure.FailureType;
import org.hornbeamusher.failure.HornbeamusherException;
import org.hornbeamusher.http.HttpClient;
import org.hornbeamusher.ids.AvailabilityZone;
import org.hornbeamusher.ids.CallerId;
import org.hornbeamusher.ids.EndpointId;
import org.hornbeamusher.ids.InstanceId;
import org.hornbeamusher.ids.OperatorId;
import org.hornbeamusher.ids.PoolName;
import org.hornbeamusher.ids.ServiceName;
import org.hornbeamusher.process.ProcessServices;
import org.hornbeamusher.security.TokenHash;
import org.hornbeamusher.settings.AgentSettings;
import org.hornbeamusher.settings.CallerSettings;
import org.hornbeamusher.settings.CapacitySettings;
import org.hornbeamusher.settings.EndpointKind;
import org.hornbeamusher.settings.EntrySettings;
import org.hornbeamusher.settings.OperatorSettings;
import org.hornbeamusher.standin.EngineSettings;
import org.hornbeamusher.standin.EngineStandin;
import org.hornbeamusher.standin.PlainServiceStandin;
import org.hornbeamusher.standin.PlatformStandin;
import org.hornbeamusher.standin.PlatformStandinSettings;
import org.hornbeamusher.standin.WeightStoreStandin;
import org.hornbeamusher.table.HttpTable;
import org.hornbeamusher.table.Instance;
import org.hornbeamusher.wire.WireSockets;

/**
 * Entries, agents and stand-ins of the given partners in one process, over loopback.
 *
 * <p>The daemons are the real ones and communicate through sockets only; the sole difference from
 * production is that they share a process. Used by the demo, by benchmarks and by fault tests.
 */
public final class Deployment {

  private static final int QUEUE_CAPACITY = 256;
  private static final int PLAIN_CONCURRENCY = 32;
  private static final long LOAD_MILLIS = 500;
  private static final long PLATFORM_TIMEOUT_MILLIS = 2_000;
  private static final long LIST_LAG_MILLIS = 1_000;
  private static final int WRITES_PER_SECOND = 500;
  private static final int READS_PER_SECOND = 2_000;
  private static final String LOOPBACK = "127.0.0.1";

  private final Clock clock = SystemClock.INSTANCE;
  private final WeightStoreStandin store = new WeightStoreStandin(clock, LOAD_MILLIS);
  private final PlatformStandin platform =
      new PlatformStandin(
          new PlatformStandinSettings(
              LOOPBACK, 0, WRITES_PER_SECOND, READS_PER_SECOND, LIST_LAG_MILLIS, List.of()),
          clock);
  private final HttpClient http = new HttpClient(1);
  private final Map<EndpointId, EngineStandin> engines = new LinkedHashMap<>();
  private final Map<EndpointId, PlainServiceStandin> plainServices = new LinkedHashMap<>();
  private final Map<EndpointId, AgentDaemon> agents = new LinkedHashMap<>();
  private final Map<PartnerPlan, List<EntryDaemon>> entries = new LinkedHashMap<>();
  private final List<PartnerPlan> plans;
  private final EngineSettings engineSettings;

  /**
   * Creates a deployment that is not started.
   *
   * @param plans the partners
   * @param engineSettings settings of all engines; the port must be 0
   */
  public Deployment(List<PartnerPlan> plans, EngineSettings engineSettings) {
    this.plans = List.copyOf(plans);
    this.engineSettings = engineSettings;
  }

  /**
   * Starts the weight store and the platform, submits the service documents, then starts engines
   * and plain services with their agents, and last the entries.
   */
  public void start() {
    http.start();
    store.start();
    platform.start();
    for (PartnerPlan plan : plans) {
      submit(plan, documentText(plan), 0);
      submit(plan, DemoDocuments.plainDocument(plan, PLAIN_CONCURRENCY), 0);
      for (int i = 0; i < plan.engineCount(); i++) {
        startEngine(plan, i);
      }
      for (int i = 0; i < plan.plainInstanceCount(); i++) {
        startPlain(plan, i);
      }
    }
    for (PartnerPlan plan : plans) {
      for (AvailabilityZone zone : plan.zones()) {
        startEntry(plan, zone);
      }
    }
  }

  /**
   * Stops entries, then agents, then stand-ins.
   *
   * @throws InterruptedException when waiting for work in flight is interrupted
   */
  public void stop() throws InterruptedException {
    for (List<EntryDaemon> ofPartner : entries.values()) {
      for (EntryDaemon entry : ofPartner) {
        entry.stop();
      }
    }
    for (AgentDaemon agent : agents.values()) {
      agent.stop();
    }
    engines.values().forEach(EngineStandin::stop);
    plainServices.values().forEach(PlainServiceStandin::stop);
    platform.stop();
    store.stop();
    http.stop();
  }

  /**
   * Submits a service document in the name of the partner's team.
   *
   * @param plan the partner
   * @param text the document
   * @param base the version that it is based on; 0 for a new document
   * @return the accepted version
   */
  public long submit(PartnerPlan plan, String text, long base) {
    DocumentStore documents =
        new DocumentStore(
            new HttpTable(http, platform.uri(), PLATFORM_TIMEOUT_MILLIS),
            clock,
            () -> java.util.UUID.randomUUID().toString());
    Principal author = new Principal(plan.partner(), plan.team());
    return switch (documents.submit(plan.modelService() + ".toml", text, base, author).join()) {
      case SubmitResult.Accepted accepted -> accepted.version();
      case SubmitResult other ->
          throw HornbeamusherException.notRun(FailureType.DOCUMENT_INVALID, other);
    };
  }

  /**
   * Returns the document of a partner's model service.
   *
   * @param plan the partner
   * @return the text of the service document
   */
  public String documentText(PartnerPlan plan) {
    return DemoDocuments.modelDocument(
        plan, engineSettings.adapterCapacity(), engineSettings.batchCapacity(), QUEUE_CAPACITY);
  }

  /**
   * Returns a partner's entries, one per availability zone.
   *
   * @param plan the partner
   * @return the entries
   */
  public List<EntryDaemon> entries(PartnerPlan plan) {
    return List.copyOf(entries.get(plan));
  }

  /**
   * Returns the agents.
   *
   * @return the agents by endpoint
   */
  public Map<EndpointId, AgentDaemon> agents() {
    return Map.copyOf(agents);
  }

  /**
   * Returns the engines.
   *
   * @return the engines by endpoint
   */
  public Map<EndpointId, EngineStandin> engines() {
    return Map.copyOf(engines);
  }

  /**
   * Returns whether every process has received a version of a service's document.
   *
   * @param service the service
   * @param version the version
   * @return whether all entries and agents have this version or a later one
   */
  public boolean hasVersionEverywhere(ServiceName service, long version) {
    Stream<ProcessServices> processes =
        Stream.concat(
            entries.values().stream().flatMap(List::stream).map(EntryDaemon::services),
            agents.values().stream().map(AgentDaemon::services));
    return processes.allMatch(
        process ->
            process.documents().latest(service).filter(d -> d.version() >= version).isPresent());
  }

  /**
   * Returns the batch capacity of the engines.
   *
   * @return the number of requests that an engine can run at once
   */
  public int batchCapacity() {
    return engineSettings.batchCapacity();
  }

  /**
   * Returns the plain services.
   *
   * @return the services by endpoint
   */
  public Map<EndpointId, PlainServiceStandin> plainServices() {
    return Map.copyOf(plainServices);
  }

  /**
   * Returns how often requests with an idempotency key were run more than once, over all endpoints.
   *
   * @return the number of runs beyond the first of each key
   */
  public long repeatedRuns() {
    Map<String, Long> runs = new HashMap<>();
    for (EngineStandin engine : engines.values()) {
      engine.counts().runsByKey().forEach((key, count) -> runs.merge(key, count, Long::sum));
    }
    for (PlainServiceStandin plain : plainServices.values()) {
      plain.counts().executionsByKey().forEach((key, n) -> runs.merge(key, n, Long::sum));
    }
    return runs.values().stream().mapToLong(count -> count - 1).sum();
  }

  /**
   * Returns the platform.
   *
   * @return the stand-in
   */
  public PlatformStandin platform() {
    return platform;
  }

  /**
   * Returns the weight store.
   *
   * @return the stand-in
   */
  public WeightStoreStandin weightStore() {
    return store;
  }

  /**
   * Returns the token of a partner's only caller.
   *
   * @param plan the partner
   * @return a bearer token
   */
  public static String callerToken(PartnerPlan plan) {
    return "demo-token-of-a-caller-of-" + plan.partner();
  }

  /**
   * Returns the token of a partner's only operator.
   *
   * @param plan the partner
   * @return a bearer token
   */
  public static String operatorToken(PartnerPlan plan) {
    return "demo-token-of-an-operator-of-" + plan.partner();
  }

  private void startEngine(PartnerPlan plan, int number) {
    EngineStandin engine = new EngineStandin(engineSettings, store, clock);
    engine.start();
    EndpointId endpoint = new EndpointId(plan.modelService() + "-" + number);
    engines.put(endpoint, engine);
    startAgent(plan.zone(number), endpoint, plan.modelService(), engine.uri(), modelCapacity());
  }

  private void startPlain(PartnerPlan plan, int number) {
    PlainServiceStandin service = new PlainServiceStandin(plan.plainService().value(), LOOPBACK, 0);
    service.start();
    EndpointId endpoint = new EndpointId(plan.plainService() + "-" + number);
    plainServices.put(endpoint, service);
    CapacitySettings capacity = CapacitySettings.defaultsFor(EndpointKind.PLAIN);
    startAgent(plan.zone(number), endpoint, plan.plainService(), service.uri(), capacity);
  }

  /**
   * Starts an agent and adds it to the instance list. Its pool is named after the service, as each
   * pool runs one service here.
   */
  private void startAgent(
      AvailabilityZone zone,
      EndpointId endpoint,
      ServiceName service,
      URI uri,
      CapacitySettings capacity) {
    PoolName pool = new PoolName(service.value());
    InstanceId instance = new InstanceId("agent-" + endpoint);
    AgentDaemon agent =
        new AgentDaemon(
            AgentSettings.loopback(instance, zone, endpoint, pool, uri, platform.uri(), capacity),
            new WireSockets.Plain(),
            clock);
    agent.start();
    agents.put(endpoint, agent);
    addToInstanceList(instance.value(), agent.address(), Instance.Role.AGENT, zone, pool);
  }

  /**
   * Returns capacity settings that match the engine stand-in. Adapter and batch capacity come from
   * the service document.
   */
  private CapacitySettings modelCapacity() {
    CapacitySettings base = CapacitySettings.defaultsFor(EndpointKind.MODEL);
    return new CapacitySettings(
        EndpointKind.MODEL,
        engineSettings.enforceFencing(),
        Optional.empty(),
        Optional.empty(),
        QUEUE_CAPACITY,
        1_000_000.0 / engineSettings.tokenMicros(),
        LOAD_MILLIS,
        base.minimumStayMillis(),
        base.weightStore(),
        Map.of());
  }

  private void startEntry(PartnerPlan plan, AvailabilityZone zone) {
    InstanceId instance = new InstanceId("entry-" + zone);
    EntryDaemon entry =
        new EntryDaemon(
            EntrySettings.loopback(
                instance, zone, platform.uri(), List.of(caller(plan)), List.of(operator(plan))),
            new WireSockets.Plain(),
            clock);
    entry.start();
    entries.computeIfAbsent(plan, key -> new ArrayList<>()).add(entry);
    InetSocketAddress address = new InetSocketAddress(LOOPBACK, entry.uri().getPort());
    PoolName pool = new PoolName("entries-" + plan.partner());
    addToInstanceList(instance.value(), address, Instance.Role.ENTRY, zone, pool);
  }

  private void addToInstanceList(
      String id,
      InetSocketAddress address,
      Instance.Role role,
      AvailabilityZone zone,
      PoolName pool) {
    platform.put(new Instance(id, LOOPBACK, address.getPort(), role, zone, pool, false));
  }

  private static CallerSettings caller(PartnerPlan plan) {
    return new CallerSettings(
        new CallerId("demo"), plan.partner(), TokenHash.ofToken(callerToken(plan)), Set.of());
  }

  private static OperatorSettings operator(PartnerPlan plan) {
    return new OperatorSettings(
        new OperatorId("demo"),
        plan.partner(),
        plan.team(),
        TokenHash.ofToken(operatorToken(plan)),
        true);
  }
}

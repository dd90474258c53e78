package org.hornbeamusher.demo;

import java.net.InetSocketAddress;
import java.net.URI;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import org.hornbeamusher.agent.AgentDaemon;
import org.hornbeamusher.clock.Clock;
import org.hornbeamusher.clock.SystemClock;
import org.hornbeamusher.documents.DocumentHolder;
import org.hornbeamusher.documents.ServiceDocument;
import org.hornbeamusher.entry.EntryDaemon;
import org.hornbeamusher.ids.AdapterName;
import org.hornbeamusher.ids.CallerId;
import org.hornbeamusher.ids.EndpointId;
import org.hornbeamusher.ids.InstanceId;
import org.hornbeamusher.ids.PoolName;
import org.hornbeamusher.security.TokenHash;
import org.hornbeamusher.settings.AgentSettings;
import org.hornbeamusher.settings.CallerSettings;
import org.hornbeamusher.settings.CapacitySettings;
import org.hornbeamusher.settings.EndpointKind;
import org.hornbeamusher.settings.EntrySettings;
import org.hornbeamusher.standin.EngineSettings;
import org.hornbeamusher.standin.EngineStandin;
import org.hornbeamusher.standin.WeightStoreStandin;
import org.hornbeamusher.wire.WireSockets;

/** Entries, agents and stand-ins of the given partners, started and stopped together. */
public final class Deployment {

  private static final int SLOTS = 8;
  private static final int BATCH = 16;
  private static final int QUEUE = 256;
  private static final long LOAD_MILLIS = 500;
  private static final URI NO_PLATFORM = URI.create("http://127.0.0.1:1");

  private final Clock clock = SystemClock.INSTANCE;
  private final WeightStoreStandin store = new WeightStoreStandin(clock, LOAD_MILLIS);
  private final DocumentHolder documents = new DocumentHolder();
  private final Map<EndpointId, EngineStandin> engines = new HashMap<>();
  private final List<AgentDaemon> agents = new ArrayList<>();
  private final List<EntryDaemon> entries = new ArrayList<>();
  private final List<PartnerPlan> plans;

  Deployment(List<PartnerPlan> plans) {
    this.plans = plans;
  }

  /** Starts stand-ins, then agents, then entries. */
  void start() {
    store.start();
    for (PartnerPlan plan : plans) {
      documents.offer(modelDocument(plan));
      for (int i = 0; i < plan.engines(); i++) {
        startEngine(plan, i);
      }
    }
    for (PartnerPlan plan : plans) {
      startEntry(plan);
    }
  }

  /** Stops entries, then agents, then stand-ins. */
  void stop() throws InterruptedException {
    for (EntryDaemon entry : entries) {
      entry.stop();
    }
    for (AgentDaemon agent : agents) {
      agent.stop();
    }
    engines.values().forEach(EngineStandin::stop);
    store.stop();
  }

  List<EntryDaemon> entries() {
    return entries;
  }

  static String token(PartnerPlan plan) {
    return "demo-token-of-" + plan.partner() + "-0123456789";
  }

  private void startEngine(PartnerPlan plan, int number) {
    EngineStandin engine = new EngineStandin(EngineSettings.of(0, SLOTS, BATCH), store, clock);
    engine.start();
    EndpointId endpoint = new EndpointId(plan.model() + "-" + number);
    engines.put(endpoint, engine);
    CapacitySettings base = CapacitySettings.of(EndpointKind.MODEL);
    CapacitySettings capacity =
        new CapacitySettings(
            EndpointKind.MODEL,
            true,
            Optional.of(SLOTS),
            Optional.of(BATCH),
            QUEUE,
            base.tokensPerSecond(),
            LOAD_MILLIS,
            base.minimumStayMillis(),
            base.weightStore(),
            Map.of());
    AgentDaemon agent =
        new AgentDaemon(
            AgentSettings.loopback(
                new InstanceId("agent-" + endpoint),
                plan.zone(number),
                endpoint,
                new PoolName(plan.model().value()),
                engine.uri(),
                NO_PLATFORM,
                capacity),
            documents,
            new WireSockets.Plain(),
            clock);
    agent.start();
    agents.add(agent);
  }

  private void startEntry(PartnerPlan plan) {
    CallerSettings caller =
        new CallerSettings(
            new CallerId("demo"), plan.partner(), TokenHash.ofToken(token(plan)), Set.of());
    EntryDaemon entry =
        new EntryDaemon(
            EntrySettings.loopback(
                new InstanceId("entry-" + plan.partner()),
                plan.zone(0),
                NO_PLATFORM,
                List.of(caller),
                List.of()),
            documents,
            () -> CompletableFuture.completedFuture(addresses()),
            new WireSockets.Plain(),
            clock);
    entry.start();
    entries.add(entry);
  }

  private List<InetSocketAddress> addresses() {
    return agents.stream().map(AgentDaemon::address).toList();
  }

  private static ServiceDocument modelDocument(PartnerPlan plan) {
    Map<AdapterName, ServiceDocument.Adapter> adapters = new HashMap<>();
    for (int i = 0; i < plan.adapters(); i++) {
      adapters.put(
          new AdapterName("a-" + i),
          new ServiceDocument.Adapter(1, List.of(1), plan.partner() + "/a-" + i + "/{version}"));
    }
    return new ServiceDocument(
        plan.model(),
        plan.partner(),
        plan.team(),
        1,
        false,
        new PoolName(plan.model().value()),
        new ServiceDocument.Kind.Model("base", adapters, true, SLOTS, BATCH),
        plan.weights(),
        new ServiceDocument.Limits(1, QUEUE, 10_000, 60_000, 4_096),
        Map.of());
  }
}

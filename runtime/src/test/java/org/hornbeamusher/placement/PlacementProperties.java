package org.hornbeamusher.placement;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.net.URI;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.hornbeamusher.availability.EndpointAvailability;
import org.hornbeamusher.directory.AdapterVersion;
import org.hornbeamusher.directory.Endpoint;
import org.hornbeamusher.ids.EndpointId;
import org.hornbeamusher.ids.EndpointIncarnation;
import org.hornbeamusher.routes.AdapterKey;

/**
 * Compares placements with a plain evaluation of the cost function, which looks at every resident
 * adapter of every engine.
 */
class PlacementProperties {

  private static final PlacementSettings SETTINGS = PlacementSettings.DEFAULT;
  private static final String SERVICE = "models";
  private static final String ZONE = "a";
  private static final int ENGINES = 12;
  private static final int STEPS = 60;
  private static final int SLOTS = 4;

  private final Placer placer = new Placer(SETTINGS, ZONE);
  private final List<Engine> engines = new ArrayList<>();

  /** An engine and the adapters that were reported for it. */
  private static final class Engine {
    private final EndpointView view;
    private Set<AdapterVersion> resident = Set.of();
    private Set<AdapterVersion> loading = Set.of();

    Engine(EndpointView view) {
      this.view = view;
    }
  }

  @Property(tries = 200, seed = "71")
  void placementIsTheCheapestByThePlainCostFunction(@ForAll long seed) {
    Random random = new Random(seed);
    placer.views().clear();
    engines.clear();
    for (int i = 0; i < ENGINES; i++) {
      addEngine("e" + i, random.nextBoolean() ? ZONE : "b");
    }
    long now = 0;
    for (int step = 0; step < STEPS; step++) {
      now += random.nextInt(100);
      change(engines.get(random.nextInt(ENGINES)), random, now);
      PlacementRequest request = request(random);
      Set<EndpointIncarnation> tried = new HashSet<>();
      while (random.nextInt(3) == 0) {
        tried.add(engines.get(random.nextInt(ENGINES)).view.incarnation());
      }
      check(request, tried, now);
    }
  }

  private void check(PlacementRequest request, Set<EndpointIncarnation> tried, long now) {
    double lowest = Double.MAX_VALUE;
    for (Engine engine : engines) {
      if (!tried.contains(engine.view.incarnation())) {
        lowest = Math.min(lowest, cost(engine, request, now));
      }
    }
    Placement.Assigned at = (Placement.Assigned) placer.place(SERVICE, request, tried, now);
    Engine chosen =
        engines.stream().filter(engine -> engine.view == at.endpoint()).findFirst().orElseThrow();
    assertTrue(!tried.contains(chosen.view.incarnation()));
    assertEquals(lowest, cost(chosen, request, now), 0.001);
    assertEquals(isResident(chosen, request.adapter().orElseThrow()), at.canStartNow());
  }

  private void addEngine(String id, String zone) {
    Endpoint endpoint =
        new Endpoint(
            new EndpointIncarnation(new EndpointId(id), 1),
            SERVICE,
            URI.create("http://" + id + ":1"),
            zone,
            SLOTS,
            false,
            0,
            Set.of());
    EndpointView view = new EndpointView(endpoint, 4_000, SLOTS, new EndpointAvailability());
    view.updateFromAgent(Set.of(), Set.of(), false);
    placer.views().put(endpoint.id(), view);
    engines.add(new Engine(view));
  }

  private static void change(Engine engine, Random random, long now) {
    switch (random.nextInt(4)) {
      case 0, 1 -> {
        engine.resident = adapters(random, 6);
        engine.loading = adapters(random, 2);
        engine.view.updateFromAgent(engine.resident, engine.loading, false);
      }
      case 2 ->
          engine.view.reportedLoad(random.nextInt(8), random.nextInt(9_000), random.nextInt(4) - 2);
      default -> engine.view.failed(now);
    }
    engine.view.requestStarted(request(random), now);
  }

  private static Set<AdapterVersion> adapters(Random random, int most) {
    Set<AdapterVersion> drawn = new HashSet<>();
    for (int i = random.nextInt(most + 1); i > 0; i--) {
      drawn.add(adapter(random));
    }
    return drawn;
  }

  private static AdapterVersion adapter(Random random) {
    int number = random.nextInt(6);
    String model = "m" + random.nextInt(2);
    return new AdapterVersion(new AdapterKey(model, number == 0 ? "" : "a" + number), 1);
  }

  private static PlacementRequest request(Random random) {
    List<PromptPart> parts =
        List.of(new PromptPart("p" + random.nextInt(3), 90), new PromptPart("q", 60));
    return new PlacementRequest(
        random.nextLong(), Optional.of(adapter(random)), 400, 10, 2_000, parts);
  }

  private double cost(Engine engine, PlacementRequest request, long now) {
    EndpointView view = engine.view;
    AdapterVersion adapter = request.adapter().orElseThrow();
    double uncached = view.uncachedTokens(request);
    double prompt =
        (view.pendingPromptTokens() + uncached)
            / SETTINGS.promptTokensPerMilli()
            * view.health().slowdown();
    double cost =
        prompt
            + view.running() * SETTINGS.runningRequestMillis()
            + Math.max(0, view.running() + 1 - SLOTS) * view.health().runMillis() / SLOTS
            + view.health().penaltyMillis(now)
            + uncached
                / SETTINGS.promptTokensPerMilli()
                * view.running()
                * SETTINGS.delayFraction();
    if (!view.endpoint().zone().equals(ZONE)) {
      cost +=
          SETTINGS.crossZoneMillis()
              + SETTINGS.crossZoneMillisPerKilobyte() * request.bytes() / 1_024;
    }
    return isResident(engine, adapter) ? cost : cost + loadCost(engine, adapter, now);
  }

  private double loadCost(Engine engine, AdapterVersion adapter, long now) {
    EndpointView view = engine.view;
    boolean loading = engine.loading.contains(adapter);
    boolean copy = view.hasCopy(adapter);
    long[] hashes = engines.stream().mapToLong(one -> one.view.hash()).toArray();
    double cost =
        new PreferenceOrder(adapter.key(), hashes).position(view) * SETTINGS.preferenceStepMillis();
    cost += loading || copy ? 0 : SETTINGS.fetchPriceMillis();
    if (!hasModel(engine, adapter)) {
      return cost + SETTINGS.notLoadableMillis();
    }
    if (loading) {
      return cost + SETTINGS.remainingLoadMillis();
    }
    double load = copy ? view.costs().cachedLoadMillis() : view.costs().storeLoadMillis();
    double queue = Math.max(0, 1 - view.freeAdapterSlots(now));
    return cost + load + SETTINGS.evictionMillis() + queue * view.costs().slotWaitMillis();
  }

  private static boolean isResident(Engine engine, AdapterVersion adapter) {
    return adapter.key().isBase()
        ? hasModel(engine, adapter)
        : engine.resident.stream()
            .anyMatch(
                one ->
                    one.key().toString().equals(adapter.key().toString())
                        && one.version() == adapter.version());
  }

  private static boolean hasModel(Engine engine, AdapterVersion adapter) {
    return engine.resident.stream()
        .anyMatch(one -> one.key().model().equals(adapter.key().model()));
  }
}

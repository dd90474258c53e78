package org.hornbeamusher.standin;

import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.Map;
import org.hornbeamusher.clock.Clock;
import org.hornbeamusher.ids.EndpointId;

/** All stand-ins of one process, started and stopped together. */
public final class Standin {

  private final PlatformStandin platform;
  private final Map<String, WeightStoreStandin> stores = new HashMap<>();
  private final Map<EndpointId, EngineStandin> engines = new LinkedHashMap<>();
  private final Map<EndpointId, PlainServiceStandin> plains = new LinkedHashMap<>();

  /**
   * Creates the stand-ins.
   *
   * @param settings what there is
   * @param clock tells all of them the time
   */
  public Standin(StandinSettings settings, Clock clock) {
    platform = new PlatformStandin(settings.platform(), clock);
    for (StandinSettings.Store store : settings.stores()) {
      stores.put(store.name(), new WeightStoreStandin(clock, store.loadMillis()));
    }
    for (StandinSettings.Engine engine : settings.engines()) {
      engines.put(
          engine.id(), new EngineStandin(engine.settings(), stores.get(engine.store()), clock));
    }
    for (StandinSettings.Plain plain : settings.plains()) {
      plains.put(plain.id(), new PlainServiceStandin(plain.service(), plain.host(), plain.port()));
    }
  }

  /** Starts all. */
  public void start() {
    platform.start();
    stores.values().forEach(WeightStoreStandin::start);
    engines.values().forEach(EngineStandin::start);
    plains.values().forEach(PlainServiceStandin::start);
  }

  /** Stops all. */
  public void stop() {
    plains.values().forEach(PlainServiceStandin::stop);
    engines.values().forEach(EngineStandin::stop);
    stores.values().forEach(WeightStoreStandin::stop);
    platform.stop();
  }

  /**
   * Returns the platform.
   *
   * @return the platform
   */
  public PlatformStandin platform() {
    return platform;
  }

  /**
   * Returns the engines.
   *
   * @return the engines by name
   */
  public Map<EndpointId, EngineStandin> engines() {
    return Map.copyOf(engines);
  }

  /**
   * Returns the plain services.
   *
   * @return their instances by name
   */
  public Map<EndpointId, PlainServiceStandin> plains() {
    return Map.copyOf(plains);
  }
}

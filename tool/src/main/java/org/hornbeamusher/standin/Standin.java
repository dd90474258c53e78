package org.hornbeamusher.standin;

import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.Map;
import org.hornbeamusher.clock.Clock;
import org.hornbeamusher.ids.EndpointId;

/** The stand-ins of one process, which are started and stopped together. */
public final class Standin {

  private final PlatformStandin platform;
  private final Map<String, WeightStoreStandin> stores = new HashMap<>();
  private final Map<EndpointId, EngineStandin> engines = new LinkedHashMap<>();
  private final Map<EndpointId, PlainServiceStandin> plainServices = new LinkedHashMap<>();

  /**
   * Creates the stand-ins.
   *
   * @param settings the stand-ins to create
   * @param clock the clock of all stand-ins
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
    for (StandinSettings.PlainService plain : settings.plainServices()) {
      plainServices.put(
          plain.id(), new PlainServiceStandin(plain.service(), plain.host(), plain.port()));
    }
  }

  /** Starts all stand-ins. */
  public void start() {
    platform.start();
    stores.values().forEach(WeightStoreStandin::start);
    engines.values().forEach(EngineStandin::start);
    plainServices.values().forEach(PlainServiceStandin::start);
  }

  /** Stops all stand-ins. */
  public void stop() {
    plainServices.values().forEach(PlainServiceStandin::stop);
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
   * @return the engines by endpoint id
   */
  public Map<EndpointId, EngineStandin> engines() {
    return Map.copyOf(engines);
  }

  /**
   * Returns the plain services.
   *
   * @return the stand-ins of plain services by endpoint id
   */
  public Map<EndpointId, PlainServiceStandin> plainServices() {
    return Map.copyOf(plainServices);
  }
}

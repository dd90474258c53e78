package org.hornbeamusher.standin;

import java.nio.file.Path;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.hornbeamusher.failure.FailureType;
import org.hornbeamusher.ids.AvailabilityZone;
import org.hornbeamusher.ids.EndpointId;
import org.hornbeamusher.ids.PoolName;
import org.hornbeamusher.table.Instance;
import org.hornbeamusher.toml.Problem;
import org.hornbeamusher.toml.TomlChecker;
import org.hornbeamusher.toml.TomlDocument;

/**
 * Settings of all stand-ins of one process.
 *
 * @param platform the platform
 * @param stores the weight stores
 * @param engines the engines
 * @param plainServices the plain services
 */
public record StandinSettings(
    PlatformStandinSettings platform,
    List<Store> stores,
    List<Engine> engines,
    List<PlainService> plainServices) {

  private static final int MAX_PORT = 65_535;
  private static final int MAX_MILLIS = 3_600_000;
  private static final int MAX_COUNT = 1_000_000;

  /** Copies the lists. */
  public StandinSettings {
    stores = List.copyOf(stores);
    engines = List.copyOf(engines);
    plainServices = List.copyOf(plainServices);
  }

  /**
   * A weight store.
   *
   * @param name the name by which engine settings refer to it
   * @param loadMillis duration of a load when no other load runs
   */
  public record Store(String name, long loadMillis) {}

  /**
   * An engine.
   *
   * @param id the engine's endpoint id
   * @param store name of the weight store that it loads from
   * @param settings the engine's settings
   */
  public record Engine(EndpointId id, String store, EngineSettings settings) {}

  /**
   * An endpoint of a plain service.
   *
   * @param id the endpoint's id
   * @param service the service's name
   * @param host address it listens on
   * @param port port it listens on
   */
  public record PlainService(EndpointId id, String service, String host, int port) {}

  /**
   * Reads a settings file.
   *
   * @param file TOML as in {@code examples/standin.toml}
   * @return the settings
   * @throws org.hornbeamusher.failure.HornbeamusherException of type {@code SETTINGS_INVALID} that
   *     lists every problem with its line and key
   */
  public static StandinSettings read(Path file) {
    TomlChecker top = TomlDocument.read(file).checker();
    if (!top.string("role").equals("standin")) {
      top.record("role", Problem.Kind.INVALID_VALUE, "must be \"standin\" for this command");
    }
    List<Store> stores = top.tables("weight_store").stream().map(StandinSettings::store).toList();
    Set<String> names = new HashSet<>();
    stores.forEach(store -> names.add(store.name()));
    List<Engine> engines =
        top.tables("engine").stream().map(table -> engine(table, names)).toList();
    List<PlainService> plains =
        top.tables("plain").stream().map(StandinSettings::plainService).toList();
    List<Instance> instances =
        top.tables("instance").stream().map(StandinSettings::instance).toList();
    TomlChecker table = top.table("platform");
    PlatformStandinSettings defaults = PlatformStandinSettings.of(0, instances);
    PlatformStandinSettings platform =
        new PlatformStandinSettings(
            host(table),
            port(table),
            count(table, "writes_per_second", defaults.writesPerSecond()),
            count(table, "reads_per_second", defaults.readsPerSecond()),
            table.integer("list_lag_ms", 0, MAX_MILLIS, defaults.listLagMillis()),
            instances);
    top.throwIfProblems(FailureType.SETTINGS_INVALID);
    return new StandinSettings(platform, stores, engines, plains);
  }

  private static Store store(TomlChecker table) {
    return new Store(
        table.string("name"),
        table.integer("load_ms", 1, MAX_MILLIS, WeightStoreStandin.DEFAULT_TRANSFER_MILLIS));
  }

  private static Engine engine(TomlChecker table, Set<String> stores) {
    EngineSettings defaults = EngineSettings.of(0, 8, 16);
    EndpointId id = table.value("id", EndpointId::new);
    String store = table.string("weight_store");
    if (!stores.contains(store)) {
      table.record("weight_store", Problem.Kind.INVALID_VALUE, "no weight_store has this name");
    }
    EngineSettings settings =
        new EngineSettings(
            host(table),
            port(table),
            count(table, "slots", defaults.adapterCapacity()),
            count(table, "batch", defaults.batchCapacity()),
            table.integer("token_micros", 1, MAX_COUNT, defaults.tokenMicros()),
            defaults.batchSlowdown(),
            defaults.prefillTokensPerStep(),
            defaults.cacheBlocks(),
            table.bool("fencing", defaults.enforceFencing()),
            table.integer("restart_ms", 0, MAX_MILLIS, defaults.restartMillis()),
            defaults.reportLagMillis(),
            defaults.eventDelayMillis(),
            defaults.eventDropInterval());
    return new Engine(id, store, settings);
  }

  private static PlainService plainService(TomlChecker table) {
    return new PlainService(
        table.value("id", EndpointId::new), table.string("service"), host(table), port(table));
  }

  private static Instance instance(TomlChecker table) {
    return new Instance(
        table.string("id"),
        host(table),
        port(table),
        role(table),
        table.value("zone", AvailabilityZone::new),
        table.value("pool", PoolName::new),
        false);
  }

  private static Instance.Role role(TomlChecker table) {
    return switch (table.string("runs")) {
      case "entry" -> Instance.Role.ENTRY;
      case "agent" -> Instance.Role.AGENT;
      default -> {
        table.record("runs", Problem.Kind.INVALID_VALUE, "expected entry or agent");
        yield Instance.Role.AGENT;
      }
    };
  }

  private static String host(TomlChecker table) {
    return table.string("host", "127.0.0.1");
  }

  private static int port(TomlChecker table) {
    return (int) table.integer("port", 0, MAX_PORT);
  }

  private static int count(TomlChecker table, String key, int defaultValue) {
    return (int) table.integer(key, 1, MAX_COUNT, defaultValue);
  }
}

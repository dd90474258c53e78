package org.hornbeamusher.settings;

import java.net.URI;
import java.nio.file.Path;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.hornbeamusher.failure.FailureType;
import org.hornbeamusher.ids.AvailabilityZone;
import org.hornbeamusher.ids.EndpointId;
import org.hornbeamusher.ids.InstanceId;
import org.hornbeamusher.ids.PartnerId;
import org.hornbeamusher.ids.PoolName;
import org.hornbeamusher.toml.TomlChecker;
import org.hornbeamusher.toml.TomlDocument;
import org.hornbeamusher.wire.WireSettings;

/** Reads an agent's settings file. All keys are read first, so that all problems are reported. */
final class AgentSettingsReader {

  private static final int MAX_SLOTS = 4_096;
  private static final int MAX_BATCH = 4_096;
  private static final int MAX_QUEUE = 1_048_576;
  private static final int MAX_SHARE = 1_000_000;
  private static final double MIN_TOKENS_PER_SECOND = 0.1;
  private static final double MAX_TOKENS_PER_SECOND = 100_000;

  private AgentSettingsReader() {}

  static AgentSettings read(Path file) {
    TomlChecker top = TomlDocument.read(file).checker();
    SharedTablesReader shared = new SharedTablesReader(file);
    SharedTablesReader.checkRole(top, "agent");
    InstanceId instance = top.value("instance", InstanceId::new);
    AvailabilityZone zone = top.value("zone", AvailabilityZone::new);
    URI platform = SharedTablesReader.uri(top, "platform");
    TomlChecker endpointTable = top.table("endpoint");
    EndpointId endpoint = endpointTable.value("id", EndpointId::new);
    PoolName pool = endpointTable.value("pool", PoolName::new);
    URI endpointUri = SharedTablesReader.uri(endpointTable, "uri");
    CapacitySettings capacity = capacity(endpointTable);
    ListenSettings listen = shared.listen(top.table("listen"));
    ListenSettings http = shared.listen(top.table("http"));
    TomlChecker wireTable = top.table("wire");
    WireSettings wire = shared.wire(wireTable);
    Optional<TlsSettings> peerTls = shared.peerTls(wireTable);
    List<OperatorSettings> operators = shared.operators(top);
    SharedTablesReader.requireDistinctTokens(top, List.of(), operators);
    top.throwIfProblems(FailureType.SETTINGS_INVALID);
    return new AgentSettings(
        instance,
        zone,
        endpoint,
        pool,
        endpointUri,
        listen,
        http,
        platform,
        operators,
        capacity,
        wire,
        peerTls);
  }

  private static CapacitySettings capacity(TomlChecker table) {
    EndpointKind kind = table.value("kind", EndpointKind::parse);
    CapacitySettings defaults = CapacitySettings.defaultsFor(kind);
    return new CapacitySettings(
        kind,
        table.bool("fencing", defaults.fencing()),
        optionalInteger(table, "slots", MAX_SLOTS),
        optionalInteger(table, "batch", MAX_BATCH),
        (int) table.integer("queue", 1, MAX_QUEUE, defaults.queueLimit()),
        table.number(
            "tokens_per_second",
            MIN_TOKENS_PER_SECOND,
            MAX_TOKENS_PER_SECOND,
            defaults.tokensPerSecond()),
        table.integer("load_ms", 1, SharedTablesReader.MAX_INTERVAL_MILLIS, defaults.loadMillis()),
        table.integer(
            "minimum_stay_ms",
            0,
            SharedTablesReader.MAX_INTERVAL_MILLIS,
            defaults.minimumStayMillis()),
        table.string("weight_store", defaults.weightStore()),
        shares(table.optionalTable("partner_shares")));
  }

  private static Optional<Integer> optionalInteger(TomlChecker table, String key, int maximum) {
    return table.has(key) ? Optional.of((int) table.integer(key, 1, maximum)) : Optional.empty();
  }

  private static Map<PartnerId, Integer> shares(TomlChecker table) {
    Map<PartnerId, Integer> shares = new HashMap<>();
    for (String key : table.keys()) {
      int share = (int) table.integer(key, 1, MAX_SHARE);
      table.keyAs(key, PartnerId::new).ifPresent(partner -> shares.put(partner, share));
    }
    return shares;
  }
}

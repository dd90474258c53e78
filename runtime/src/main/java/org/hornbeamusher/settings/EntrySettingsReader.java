package org.hornbeamusher.settings;

import java.net.URI;
import java.nio.file.Path;
import java.util.List;
import java.util.Optional;
import org.hornbeamusher.failure.FailureType;
import org.hornbeamusher.ids.AvailabilityZone;
import org.hornbeamusher.ids.InstanceId;
import org.hornbeamusher.toml.TomlChecker;
import org.hornbeamusher.toml.TomlDocument;
import org.hornbeamusher.wire.WireSettings;

/** Reads an entry's settings file. All keys are read first, so that all problems are reported. */
final class EntrySettingsReader {

  private static final int MIN_BYTES = 1_024;
  private static final int MAX_BODY_BYTES = 67_108_864;
  private static final int MAX_HEADER_BYTES = 1_048_576;
  private static final int MAX_IN_FLIGHT = 65_536;
  private static final long MIN_CALLER_MILLIS = 100;

  private EntrySettingsReader() {}

  static EntrySettings read(Path file) {
    TomlChecker top = TomlDocument.read(file).checker();
    SharedTablesReader shared = new SharedTablesReader(file);
    SharedTablesReader.checkRole(top, "entry");
    InstanceId instance = top.value("instance", InstanceId::new);
    AvailabilityZone zone = top.value("zone", AvailabilityZone::new);
    URI platform = SharedTablesReader.uri(top, "platform");
    ListenSettings http = shared.listen(top.table("http"));
    final LimitSettings limits = limits(top.optionalTable("limits"));
    TomlChecker wireTable = top.table("wire");
    WireSettings wire = shared.wire(wireTable);
    Optional<TlsSettings> peerTls = shared.peerTls(wireTable);
    List<CallerSettings> callers = shared.callers(top);
    List<OperatorSettings> operators = shared.operators(top);
    SharedTablesReader.requireDistinctTokens(top, callers, operators);
    top.throwIfProblems(FailureType.SETTINGS_INVALID);
    return new EntrySettings(
        instance, zone, http, platform, callers, operators, limits, wire, peerTls);
  }

  private static LimitSettings limits(TomlChecker table) {
    LimitSettings defaults = LimitSettings.DEFAULT;
    return new LimitSettings(
        (int) table.integer("body_bytes", MIN_BYTES, MAX_BODY_BYTES, defaults.maxBodyBytes()),
        (int) table.integer("header_bytes", MIN_BYTES, MAX_HEADER_BYTES, defaults.maxHeaderBytes()),
        table.integer(
            "request_ms",
            MIN_CALLER_MILLIS,
            SharedTablesReader.MAX_INTERVAL_MILLIS,
            defaults.requestTimeoutMillis()),
        table.integer(
            "stalled_ms",
            MIN_CALLER_MILLIS,
            SharedTablesReader.MAX_INTERVAL_MILLIS,
            defaults.stallTimeoutMillis()),
        (int) table.integer("in_flight", 1, MAX_IN_FLIGHT, defaults.maxInFlight()));
  }
}

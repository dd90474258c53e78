package org.hornbeamusher.settings;

import java.net.URI;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.hornbeamusher.ids.CallerId;
import org.hornbeamusher.ids.OperatorId;
import org.hornbeamusher.ids.PartnerId;
import org.hornbeamusher.ids.ServiceName;
import org.hornbeamusher.ids.TeamId;
import org.hornbeamusher.security.TokenHash;
import org.hornbeamusher.toml.Problem.Kind;
import org.hornbeamusher.toml.TomlChecker;
import org.hornbeamusher.wire.WireSettings;

/** Reads the tables that occur in the settings of several roles. */
final class SharedTablesReader {

  static final long MAX_INTERVAL_MILLIS = 600_000;

  private static final int MAX_PORT = 65_535;
  private static final int MAX_OUTGOING_MESSAGES = 1_048_576;

  private final Path directory;
  private final TokenReader tokens;

  /**
   * Creates a reader.
   *
   * @param file the settings file; paths in it are relative to its directory
   */
  SharedTablesReader(Path file) {
    this.directory = file.toAbsolutePath().getParent();
    this.tokens = new TokenReader(directory);
  }

  /** Checks the role of the file; with another role all its keys would be reported as unknown. */
  static void checkRole(TomlChecker top, String role) {
    top.value(
        "role",
        text -> {
          if (!text.equals(role)) {
            throw new InvalidSettingException("must be \"" + role + "\" for this command");
          }
          return text;
        });
  }

  static URI uri(TomlChecker table, String key) {
    return table.value(
        key,
        text -> {
          URI uri = URI.create(text);
          boolean http = "http".equals(uri.getScheme()) || "https".equals(uri.getScheme());
          if (!http || uri.getHost() == null) {
            throw new InvalidSettingException("must be http://host:port or https://host:port");
          }
          return uri;
        });
  }

  ListenSettings listen(TomlChecker table) {
    return new ListenSettings(
        table.string("host", "127.0.0.1"),
        (int) table.integer("port", 0, MAX_PORT),
        tls(table, false));
  }

  /**
   * Reads the TLS files for connections between processes. Plaintext must be requested explicitly:
   * otherwise a forgotten table would leave all traffic unencrypted without notice.
   */
  Optional<TlsSettings> peerTls(TomlChecker wire) {
    boolean insecure = wire.bool("insecure", false);
    Optional<TlsSettings> tls = tls(wire, true);
    if (tls.isEmpty() && !insecure) {
      wire.record(
          "tls", Kind.MISSING_KEY, "give [wire.tls], or insecure = true on a trusted network");
    }
    return tls;
  }

  WireSettings wire(TomlChecker wire) {
    WireSettings defaults = WireSettings.DEFAULT;
    long heartbeat =
        wire.integer("heartbeat_ms", 10, MAX_INTERVAL_MILLIS, defaults.heartbeatIntervalMillis());
    long silence =
        wire.integer("silence_ms", 20, MAX_INTERVAL_MILLIS, defaults.heartbeatTimeoutMillis());
    if (silence < 2 * heartbeat) {
      wire.record(
          "silence_ms",
          Kind.OUT_OF_RANGE,
          "must be at least twice heartbeat_ms, else one late heartbeat ends a good connection");
    }
    long connect =
        wire.integer("connect_ms", 10, MAX_INTERVAL_MILLIS, defaults.maxConnectTimeoutMillis());
    long outgoing =
        wire.integer("outgoing_messages", 16, MAX_OUTGOING_MESSAGES, defaults.maxQueuedMessages());
    return new WireSettings(heartbeat, silence, (int) connect, (int) outgoing);
  }

  List<CallerSettings> callers(TomlChecker top) {
    List<CallerSettings> callers = new ArrayList<>();
    for (TomlChecker table : top.tables("caller")) {
      callers.add(
          new CallerSettings(
              table.value("id", CallerId::new),
              table.value("partner", PartnerId::new),
              tokens.hash(table),
              Set.copyOf(table.values("services", ServiceName::new))));
    }
    return callers;
  }

  List<OperatorSettings> operators(TomlChecker top) {
    List<OperatorSettings> operators = new ArrayList<>();
    for (TomlChecker table : top.tables("operator")) {
      operators.add(
          new OperatorSettings(
              table.value("id", OperatorId::new),
              table.value("partner", PartnerId::new),
              table.value("team", TeamId::new),
              tokens.hash(table),
              table.bool("may_drain", false)));
    }
    return operators;
  }

  private Optional<TlsSettings> tls(TomlChecker parent, boolean requireTrusted) {
    if (!parent.has("tls")) {
      return Optional.empty();
    }
    TomlChecker table = parent.table("tls");
    Path certificate = file(table, "certificate_file");
    Path key = file(table, "key_file");
    boolean hasTrusted = requireTrusted || table.has("trusted_file");
    return Optional.of(
        new TlsSettings(
            certificate,
            key,
            hasTrusted ? Optional.ofNullable(file(table, "trusted_file")) : Optional.empty()));
  }

  private Path file(TomlChecker table, String key) {
    Path file = table.value(key, directory::resolve);
    if (file != null && !Files.isReadable(file)) {
      table.record(key, Kind.UNREADABLE, file + " cannot be read");
    }
    return file;
  }

  /** Two identities with the same token could not be distinguished. */
  static void requireDistinctTokens(
      TomlChecker top, List<CallerSettings> callers, List<OperatorSettings> operators) {
    List<TokenHash> hashes = new ArrayList<>();
    callers.forEach(caller -> hashes.add(caller.token()));
    operators.forEach(operator -> hashes.add(operator.token()));
    hashes.removeIf(java.util.Objects::isNull);
    if (hashes.stream().distinct().count() < hashes.size()) {
      top.record("", Kind.INVALID_VALUE, "two callers or operators have the same token");
    }
  }
}

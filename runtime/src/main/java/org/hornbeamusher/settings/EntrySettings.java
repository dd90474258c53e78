package org.hornbeamusher.settings;

import java.net.URI;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.hornbeamusher.ids.AvailabilityZone;
import org.hornbeamusher.ids.InstanceId;
import org.hornbeamusher.security.Identity;
import org.hornbeamusher.security.TokenDirectory;
import org.hornbeamusher.wire.WireSettings;

/**
 * What an entry is told when it starts.
 *
 * @param instance the process's name, unique in its deployment
 * @param zone the availability zone it runs in
 * @param http where callers and operators reach it
 * @param platform the platform's service
 * @param callers who may send requests
 * @param operators who may change documents
 * @param limits bounds on callers
 * @param wire intervals and bounds of the connections to agents
 * @param peerTls keys shown to agents; empty for plain connections
 */
public record EntrySettings(
    InstanceId instance,
    AvailabilityZone zone,
    ListenSettings http,
    URI platform,
    List<CallerSettings> callers,
    List<OperatorSettings> operators,
    LimitSettings limits,
    WireSettings wire,
    Optional<TlsSettings> peerTls) {

  /** Copies the lists. */
  public EntrySettings {
    callers = List.copyOf(callers);
    operators = List.copyOf(operators);
  }

  /**
   * Creates settings on the loopback address with default figures, for tests and the demo.
   *
   * @param instance the process's name
   * @param zone the availability zone
   * @param platform the platform's service
   * @param callers who may send requests
   * @param operators who may change documents
   * @return the settings
   */
  public static EntrySettings loopback(
      InstanceId instance,
      AvailabilityZone zone,
      URI platform,
      List<CallerSettings> callers,
      List<OperatorSettings> operators) {
    return new EntrySettings(
        instance,
        zone,
        ListenSettings.loopback(),
        platform,
        callers,
        operators,
        LimitSettings.DEFAULT,
        WireSettings.DEFAULT,
        Optional.empty());
  }

  /**
   * Reads a settings file.
   *
   * @param file a TOML file with {@code role = "entry"}
   * @return the settings
   * @throws org.hornbeamusher.failure.HornbeamusherException {@code SETTINGS_INVALID} that carries
   *     every fault as {@link org.hornbeamusher.toml.Problems}
   */
  public static EntrySettings read(Path file) {
    return EntrySettingsReader.read(file);
  }

  /**
   * Makes the directory of the tokens in these settings.
   *
   * @return callers and operators
   */
  public TokenDirectory tokenDirectory() {
    List<TokenDirectory.Entry> entries = new ArrayList<>();
    for (CallerSettings caller : callers) {
      Identity identity = new Identity.Caller(caller.id(), caller.partner(), caller.services());
      entries.add(new TokenDirectory.Entry(caller.token(), identity));
    }
    operators.forEach(operator -> entries.add(operator.entry()));
    return new TokenDirectory(entries);
  }
}

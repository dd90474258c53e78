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
 * Settings that an entry reads at startup.
 *
 * @param instance the process's name, unique in its deployment
 * @param zone the availability zone it runs in
 * @param http the listener for callers and operators
 * @param platform the URI of the platform's service
 * @param callers callers that may send requests
 * @param operators operators that may change documents
 * @param limits limits for callers
 * @param wire intervals and limits of the connections to agents
 * @param peerTls TLS files for the connections to agents; empty for plaintext connections
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
   * Creates settings for the loopback address with default values, for tests and the demo.
   *
   * @param instance the process's name
   * @param zone the availability zone
   * @param platform the URI of the platform's service
   * @param callers callers that may send requests
   * @param operators operators that may change documents
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
   * @throws org.hornbeamusher.failure.HornbeamusherException {@code SETTINGS_INVALID} with all
   *     problems as {@link org.hornbeamusher.toml.Problems}
   */
  public static EntrySettings read(Path file) {
    return EntrySettingsReader.read(file);
  }

  /**
   * Creates the directory of the tokens in these settings.
   *
   * @return the directory of the tokens of callers and operators
   */
  public TokenDirectory tokenDirectory() {
    List<TokenDirectory.Entry> entries = new ArrayList<>();
    for (CallerSettings caller : callers) {
      Identity identity = new Identity.Caller(caller.id(), caller.partner(), caller.services());
      entries.add(new TokenDirectory.Entry(caller.token(), identity));
    }
    operators.forEach(operator -> entries.add(operator.tokenEntry()));
    return new TokenDirectory(entries);
  }
}

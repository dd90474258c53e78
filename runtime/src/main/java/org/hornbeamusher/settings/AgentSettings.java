package org.hornbeamusher.settings;

import java.net.URI;
import java.nio.file.Path;
import java.util.List;
import java.util.Optional;
import org.hornbeamusher.ids.AvailabilityZone;
import org.hornbeamusher.ids.EndpointId;
import org.hornbeamusher.ids.InstanceId;
import org.hornbeamusher.ids.PoolName;
import org.hornbeamusher.security.TokenDirectory;
import org.hornbeamusher.wire.WireSettings;

/**
 * Settings that an agent reads at startup.
 *
 * @param instance the process's name, unique in its deployment
 * @param zone the availability zone it runs in
 * @param endpoint the endpoint that the agent runs beside
 * @param pool the pool the endpoint belongs to
 * @param endpointUri the endpoint's URI
 * @param entryListener the listener for connections of entries
 * @param http the listener on which operators read metrics and status and start a drain
 * @param platform the URI of the platform's service
 * @param operators operators that may read, and drain if permitted
 * @param capacity the endpoint's capacity
 * @param wire intervals and limits of the connections to entries
 * @param peerTls TLS files for the connections to entries; empty for plaintext connections
 */
public record AgentSettings(
    InstanceId instance,
    AvailabilityZone zone,
    EndpointId endpoint,
    PoolName pool,
    URI endpointUri,
    ListenSettings entryListener,
    ListenSettings http,
    URI platform,
    List<OperatorSettings> operators,
    CapacitySettings capacity,
    WireSettings wire,
    Optional<TlsSettings> peerTls) {

  /** Copies the list. */
  public AgentSettings {
    operators = List.copyOf(operators);
  }

  /**
   * Creates settings for the loopback address with default values, for tests and the demo.
   *
   * @param instance the process's name
   * @param zone the availability zone
   * @param endpoint the endpoint that the agent runs beside
   * @param pool the endpoint's pool
   * @param endpointUri the endpoint's URI
   * @param platform the URI of the platform's service
   * @param capacity the endpoint's capacity
   * @return the settings
   */
  public static AgentSettings loopback(
      InstanceId instance,
      AvailabilityZone zone,
      EndpointId endpoint,
      PoolName pool,
      URI endpointUri,
      URI platform,
      CapacitySettings capacity) {
    return new AgentSettings(
        instance,
        zone,
        endpoint,
        pool,
        endpointUri,
        ListenSettings.loopback(),
        ListenSettings.loopback(),
        platform,
        List.of(),
        capacity,
        WireSettings.DEFAULT,
        Optional.empty());
  }

  /**
   * Reads a settings file.
   *
   * @param file a TOML file with {@code role = "agent"}
   * @return the settings
   * @throws org.hornbeamusher.failure.HornbeamusherException {@code SETTINGS_INVALID} with all
   *     problems as {@link org.hornbeamusher.toml.Problems}
   */
  public static AgentSettings read(Path file) {
    return AgentSettingsReader.read(file);
  }

  /**
   * Creates the directory of the tokens in these settings.
   *
   * @return the directory of the operators' tokens
   */
  public TokenDirectory tokenDirectory() {
    return new TokenDirectory(operators.stream().map(OperatorSettings::tokenEntry).toList());
  }
}

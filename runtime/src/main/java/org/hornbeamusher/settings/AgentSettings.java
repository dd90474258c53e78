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
 * What an agent is told when it starts.
 *
 * @param instance the process's name, unique in its deployment
 * @param zone the availability zone it runs in
 * @param endpoint the endpoint beside it
 * @param pool the pool the endpoint belongs to
 * @param endpointUri where the endpoint is reached
 * @param entryListener where entries reach the agent
 * @param http where operators read metrics and status and start a drain
 * @param platform the platform's service
 * @param operators who may read and drain
 * @param capacity what the endpoint can do
 * @param wire intervals and bounds of the connections to entries
 * @param peerTls keys shown to entries; empty for plain connections
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
   * Creates settings on the loopback address with default figures, for tests and the demo.
   *
   * @param instance the process's name
   * @param zone the availability zone
   * @param endpoint the endpoint beside it
   * @param pool the endpoint's pool
   * @param endpointUri where the endpoint is reached
   * @param platform the platform's service
   * @param capacity what the endpoint can do
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
   * @throws org.hornbeamusher.failure.HornbeamusherException {@code SETTINGS_INVALID} that carries
   *     every fault as {@link org.hornbeamusher.toml.Problems}
   */
  public static AgentSettings read(Path file) {
    return AgentSettingsReader.read(file);
  }

  /**
   * Makes the directory of the tokens in these settings.
   *
   * @return the operators
   */
  public TokenDirectory tokenDirectory() {
    return new TokenDirectory(operators.stream().map(OperatorSettings::entry).toList());
  }
}

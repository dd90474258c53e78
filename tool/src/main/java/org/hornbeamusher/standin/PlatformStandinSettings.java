package org.hornbeamusher.standin;

import java.util.List;
import org.hornbeamusher.table.Instance;

/**
 * Settings of the platform stand-in.
 *
 * @param host address it listens on
 * @param port port it listens on; 0 for any free one
 * @param writesPerSecond rate limit of transactions and object writes
 * @param readsPerSecond rate limit of reads, scans and lists
 * @param listLagMillis time until a change shows in the instance list
 * @param instances the initial instance list
 */
public record PlatformStandinSettings(
    String host,
    int port,
    int writesPerSecond,
    int readsPerSecond,
    long listLagMillis,
    List<Instance> instances) {

  /** Copies the list. */
  public PlatformStandinSettings {
    instances = List.copyOf(instances);
  }

  /**
   * Returns the default settings: the rate limits and the list lag that the platform is specified
   * to have.
   *
   * @param port port to listen on; 0 for any free one
   * @param instances the initial instance list
   * @return settings with 500 writes and 2,000 reads per second and a list lag of 3 s
   */
  public static PlatformStandinSettings of(int port, List<Instance> instances) {
    return new PlatformStandinSettings("127.0.0.1", port, 500, 2_000, 3_000, instances);
  }
}

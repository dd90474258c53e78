package org.hornbeamusher.standin;

import java.util.List;
import org.hornbeamusher.table.Instance;

/**
 * Figures of the platform stand-in.
 *
 * @param host address it listens on
 * @param port port it listens on; 0 for any free one
 * @param writesPerSecond transactions and object writes it takes
 * @param readsPerSecond reads, scans and lists it takes
 * @param listLagMillis age of the instance list
 * @param instances the list at the start
 */
public record PlatformSettings(
    String host,
    int port,
    int writesPerSecond,
    int readsPerSecond,
    long listLagMillis,
    List<Instance> instances) {

  /** Copies the list. */
  public PlatformSettings {
    instances = List.copyOf(instances);
  }

  /**
   * Returns the figures of the brief.
   *
   * @param port port to listen on; 0 for any free one
   * @param instances the list at the start
   * @return 500 writes and 2,000 reads a second, a list that is 3 s old
   */
  public static PlatformSettings of(int port, List<Instance> instances) {
    return new PlatformSettings("127.0.0.1", port, 500, 2_000, 3_000, instances);
  }
}

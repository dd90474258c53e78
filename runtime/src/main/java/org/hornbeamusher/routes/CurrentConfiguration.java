package org.hornbeamusher.routes;

import java.util.Optional;

/**
 * Holds the newest configuration that this process has seen. It never returns to an older one:
 * responses may arrive out of order, and a stale one would restore a deleted route.
 */
public final class CurrentConfiguration {

  private Configuration current;

  /** Creates a holder without a configuration. */
  public CurrentConfiguration() {}

  /**
   * Replaces the current configuration by a newer one.
   *
   * @param candidate the configuration that was read
   * @return whether it is newer than the one before and is now the current one
   */
  public boolean offer(Configuration candidate) {
    if (current != null && candidate.version() <= current.version()) {
      return false;
    }
    current = candidate;
    return true;
  }

  /**
   * Returns the current configuration.
   *
   * @return empty before the first one was read
   */
  public Optional<Configuration> current() {
    return Optional.ofNullable(current);
  }
}

package org.hornbeamusher.routes;

import java.util.Optional;

/**
 * The newest configuration this process has seen. It never goes back: an answer that was read
 * before another one may arrive after it, and a route that was dropped would come alive again.
 */
public final class ConfigurationInForce {

  private Configuration current;

  /** Creates a holder without a configuration. */
  public ConfigurationInForce() {}

  /**
   * Takes a configuration unless a newer one is in force.
   *
   * @param candidate what was read
   * @return whether it is in force now and was not before
   */
  public boolean offer(Configuration candidate) {
    if (current != null && candidate.version() <= current.version()) {
      return false;
    }
    current = candidate;
    return true;
  }

  /**
   * Returns the configuration in force.
   *
   * @return empty before the first one was read
   */
  public Optional<Configuration> current() {
    return Optional.ofNullable(current);
  }
}

package org.hornbeamusher.routes;

import java.util.Optional;

/**
 * Holds the newest configuration that this process has seen. It never returns to an older one:
 * responses may arrive out of order, and a stale one would restore a deleted route.
 */
public final class CurrentConfiguration {

  private Configuration current;
  private long currentRevision;

  /** Creates a holder without a configuration. */
  public CurrentConfiguration() {}

  /**
   * Replaces the current configuration by a newer one.
   *
   * <p>After a restore of the table service from a copy, the operator may give out a version again
   * for another content. Of two configurations with the same version, the one that was written
   * later is newer. One with a lower version is that of the copy, which the operator will replace.
   *
   * @param candidate the configuration that was read
   * @param revision the revision of its row, which increases also across restores
   * @return whether it is newer than the one before and is now the current one
   */
  public boolean offer(Configuration candidate, long revision) {
    if (current != null && !isNewer(candidate, revision)) {
      return false;
    }
    current = candidate;
    currentRevision = revision;
    return true;
  }

  private boolean isNewer(Configuration candidate, long revision) {
    return candidate.version() > current.version()
        || (candidate.version() == current.version() && revision > currentRevision);
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

package org.hornbeamusher.table;

import java.util.List;
import java.util.concurrent.CompletableFuture;

/** The platform's list of instances, which lags behind the truth. */
@FunctionalInterface
public interface InstanceList {

  /**
   * Reads the list.
   *
   * @return every instance that is live or leaving, as of some seconds ago; fails with {@code
   *     PLATFORM_UNAVAILABLE} or {@code PLATFORM_THROTTLED}
   */
  CompletableFuture<List<Instance>> instances();
}

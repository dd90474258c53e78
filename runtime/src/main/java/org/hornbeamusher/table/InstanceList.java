package org.hornbeamusher.table;

import java.util.List;
import java.util.concurrent.CompletableFuture;

/** The platform's list of instances, which lags behind the actual state by some seconds. */
@FunctionalInterface
public interface InstanceList {

  /**
   * Reads the list.
   *
   * @return all instances that are live or leaving, as of some seconds ago; fails with {@code
   *     PLATFORM_UNAVAILABLE} or {@code PLATFORM_THROTTLED}
   */
  CompletableFuture<List<Instance>> instances();
}

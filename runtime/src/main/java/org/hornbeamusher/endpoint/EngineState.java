package org.hornbeamusher.endpoint;

import java.util.Set;
import org.hornbeamusher.ids.AdapterRef;

/**
 * The state of an engine, as read from it.
 *
 * @param incarnation changes when the engine restarts
 * @param resident the resident adapters
 * @param running the number of running requests
 * @param fencing the highest fencing number that it has received
 */
public record EngineState(String incarnation, Set<AdapterRef> resident, int running, long fencing) {

  /** Copies the set. */
  public EngineState {
    resident = Set.copyOf(resident);
  }
}

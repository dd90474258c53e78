package org.hornbeamusher.endpoint;

import java.util.Set;
import org.hornbeamusher.ids.AdapterRef;

/**
 * What an engine says of itself, fresh.
 *
 * @param incarnation changes when the engine restarts
 * @param resident the adapters it holds
 * @param running the requests it runs
 * @param fencing the highest fencing number it has seen
 */
public record EngineState(String incarnation, Set<AdapterRef> resident, int running, long fencing) {

  /** Copies the set. */
  public EngineState {
    resident = Set.copyOf(resident);
  }
}

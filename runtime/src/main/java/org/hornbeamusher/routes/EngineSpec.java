package org.hornbeamusher.routes;

import java.util.List;

/**
 * The properties of the model engines of a service.
 *
 * @param slots requests that an engine runs at once
 * @param memoryTokens the memory of an engine for running requests and cached prompts, in tokens
 * @param adapterCapacity adapters that an engine can have in memory at once
 * @param models the names of the base models
 */
public record EngineSpec(int slots, long memoryTokens, int adapterCapacity, List<String> models) {

  /** Copies the list. */
  public EngineSpec {
    models = List.copyOf(models);
  }
}

package org.hornbeamusher.routes;

import java.util.List;

/**
 * What the model engines of a service are like.
 *
 * @param slots requests an engine runs at once
 * @param memoryTokens tokens of running requests and cached prompts an engine has room for
 * @param adapterPlaces adapters an engine holds at once
 * @param models the names of the base models
 */
public record EngineSpec(int slots, long memoryTokens, int adapterPlaces, List<String> models) {

  /** Copies the list. */
  public EngineSpec {
    models = List.copyOf(models);
  }
}

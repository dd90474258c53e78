package org.hornbeamusher.holdings;

import java.util.Map;
import java.util.Set;
import org.hornbeamusher.directory.HeldAdapter;
import org.hornbeamusher.routes.AdapterKey;

/**
 * What an engine says of itself, fresh.
 *
 * @param models base models it holds
 * @param adapters adapters that can run requests, with their versions
 * @param pending adapters on their way; each takes a place
 * @param busy whether a base model is being loaded
 * @param sequence how many orders it has accepted in this life
 * @param leaving whether it takes no new work
 * @param startMillis when this life of it started; {@link
 *     org.hornbeamusher.ids.EndpointLife#UNKNOWN_START} when it does not say
 */
public record EngineReport(
    Set<String> models,
    Map<AdapterKey, Long> adapters,
    Set<HeldAdapter> pending,
    boolean busy,
    long sequence,
    boolean leaving,
    long startMillis) {

  /** Copies the collections. */
  public EngineReport {
    models = Set.copyOf(models);
    adapters = Map.copyOf(adapters);
    pending = Set.copyOf(pending);
  }
}

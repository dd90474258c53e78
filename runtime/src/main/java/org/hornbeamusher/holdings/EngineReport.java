package org.hornbeamusher.holdings;

import java.util.Map;
import java.util.Set;
import org.hornbeamusher.directory.AdapterVersion;
import org.hornbeamusher.routes.AdapterKey;

/**
 * The state that an engine reports.
 *
 * @param models base models it holds
 * @param adapters adapters that can run requests, with their versions
 * @param loading adapters that are being loaded; each occupies a slot
 * @param loadingBaseModel whether a base model is being loaded
 * @param orderSequence the number of orders accepted in this incarnation
 * @param leaving whether it is draining and takes no new work
 * @param startMillis when this incarnation started; {@link
 *     org.hornbeamusher.ids.EndpointIncarnation#UNKNOWN_START} when the engine does not state it
 */
public record EngineReport(
    Set<String> models,
    Map<AdapterKey, Long> adapters,
    Set<AdapterVersion> loading,
    boolean loadingBaseModel,
    long orderSequence,
    boolean leaving,
    long startMillis) {

  /** Makes the collections immutable. */
  public EngineReport {
    models = Set.copyOf(models);
    adapters = Map.copyOf(adapters);
    loading = Set.copyOf(loading);
  }
}

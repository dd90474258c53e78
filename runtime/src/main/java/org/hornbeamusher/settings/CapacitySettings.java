package org.hornbeamusher.settings;

import java.util.Map;
import java.util.Optional;
import org.hornbeamusher.ids.PartnerId;

/**
 * Capacity of an agent's endpoint. The service document also states slots and batch; a value here
 * overrides it, for an engine that differs from the others of its pool.
 *
 * @param kind the kind of the endpoint
 * @param fencing whether the engine refuses orders with an old fencing number
 * @param slots maximum number of adapters that are resident at once; empty to use the document's
 * @param batch maximum number of requests that run at once; empty to use the document's
 * @param queueLimit maximum number of requests of all services that wait at the agent
 * @param tokensPerSecond generation rate of one request
 * @param loadMillis expected time of loading one adapter
 * @param minimumStayMillis minimum time that a loaded adapter stays resident
 * @param weightStore the weight store it loads from; agents of one store share its load rate
 * @param partnerShares each partner's guaranteed share of the endpoint; empty for equal shares
 */
public record CapacitySettings(
    EndpointKind kind,
    boolean fencing,
    Optional<Integer> slots,
    Optional<Integer> batch,
    int queueLimit,
    double tokensPerSecond,
    long loadMillis,
    long minimumStayMillis,
    String weightStore,
    Map<PartnerId, Integer> partnerShares) {

  /** Copies the map. */
  public CapacitySettings {
    partnerShares = Map.copyOf(partnerShares);
  }

  /**
   * Returns default settings. The weight store does about 2 loads a second, one at a time at full
   * speed, so a load takes 500 ms. A minimum stay of 2 s is four loads; it prevents two alternating
   * adapters from evicting each other all the time. 22 tokens a second are 45 ms between tokens.
   *
   * @param kind the kind of the endpoint
   * @return the settings
   */
  public static CapacitySettings defaultsFor(EndpointKind kind) {
    return new CapacitySettings(
        kind, true, Optional.empty(), Optional.empty(), 256, 22, 500, 2_000, "weights", Map.of());
  }
}

package org.hornbeamusher.settings;

import java.util.Map;
import java.util.Optional;
import org.hornbeamusher.ids.PartnerId;

/**
 * What an agent's endpoint can do. Slots and batch are known from the service document as well; a
 * value here goes before it, for an engine that differs from its pool.
 *
 * @param kind what the endpoint runs
 * @param fencing whether the engine refuses orders with an old fencing number
 * @param slots how many adapters the engine holds at once; empty as the document says
 * @param batch how many requests it runs at once; empty as the document says
 * @param queueLimit most requests that wait here in all
 * @param tokensPerSecond what it generates for one request
 * @param loadMillis expected time of one adapter's load
 * @param minimumStayMillis how long a loaded adapter is kept at least
 * @param weightStore the weight store it loads from; agents of one store share its pace
 * @param partnerShares each partner's guaranteed part of the endpoint; empty for equal parts
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
   * Default figures: the weight store does about 2 loads a second, one at a time at full speed, so
   * a load takes 500 ms. A stay of 2 s is four loads, which keeps two adapters that take turns from
   * loading without end. 22 tokens a second are 45 ms between tokens.
   *
   * @param kind what the endpoint runs
   * @return the settings
   */
  public static CapacitySettings defaultsFor(EndpointKind kind) {
    return new CapacitySettings(
        kind, true, Optional.empty(), Optional.empty(), 256, 22, 500, 2_000, "weights", Map.of());
  }
}

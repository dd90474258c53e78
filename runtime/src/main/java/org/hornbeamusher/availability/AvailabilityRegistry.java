package org.hornbeamusher.availability;

import java.util.LinkedHashMap;
import java.util.Map;
import org.hornbeamusher.ids.EndpointId;
import org.hornbeamusher.ids.EndpointIncarnation;

/**
 * The availability of endpoints by incarnation. It is kept while an endpoint is missing from the
 * list, so that a list entry that expires and returns does not end a back-off.
 */
public final class AvailabilityRegistry {

  private static final int MAX_ENDPOINTS = 4_096;

  private final Map<EndpointId, KnownIncarnation> endpoints =
      new LinkedHashMap<>(16, 0.75f, true) {
        private static final long serialVersionUID = 1L;

        @Override
        protected boolean removeEldestEntry(Map.Entry<EndpointId, KnownIncarnation> eldest) {
          return size() > MAX_ENDPOINTS;
        }
      };

  /**
   * Returns the availability of an incarnation.
   *
   * @param incarnation the incarnation
   * @return its availability, newly created if the incarnation is unknown
   */
  public EndpointAvailability of(EndpointIncarnation incarnation) {
    KnownIncarnation known = endpoints.get(incarnation.id());
    if (known == null || !known.incarnation().maybeSameAs(incarnation)) {
      known = new KnownIncarnation(incarnation, new EndpointAvailability());
      endpoints.put(incarnation.id(), known);
    } else if (known.incarnation().startMillis() == EndpointIncarnation.UNKNOWN_START) {
      // Stores the start time, by which the next incarnation of this id can be distinguished.
      known = new KnownIncarnation(incarnation, known.availability());
      endpoints.put(incarnation.id(), known);
    }
    return known.availability();
  }

  private record KnownIncarnation(
      EndpointIncarnation incarnation, EndpointAvailability availability) {}
}

package org.hornbeamusher.availability;

import java.util.LinkedHashMap;
import java.util.Map;
import org.hornbeamusher.ids.EndpointId;
import org.hornbeamusher.ids.EndpointLife;

/**
 * What each incarnation of each endpoint has said of whether it takes requests, also while the
 * endpoint is missing from the list: an entry that lapses and comes back ends no statement.
 */
public final class AvailabilityRegister {

  private static final int MOST_ENDPOINTS = 4_096;

  private final Map<EndpointId, Known> endpoints =
      new LinkedHashMap<>(16, 0.75f, true) {
        private static final long serialVersionUID = 1L;

        @Override
        protected boolean removeEldestEntry(Map.Entry<EndpointId, Known> eldest) {
          return size() > MOST_ENDPOINTS;
        }
      };

  /**
   * Returns what an incarnation has said.
   *
   * @param life the incarnation
   * @return what was known of it, or nothing yet
   */
  public EndpointAvailability of(EndpointLife life) {
    Known known = endpoints.get(life.id());
    if (known == null || !known.life().sameAs(life)) {
      known = new Known(life, new EndpointAvailability());
      endpoints.put(life.id(), known);
    } else if (known.life().startMillis() == EndpointLife.UNKNOWN_START) {
      // The next incarnation under this id differs from this one by its start.
      known = new Known(life, known.availability());
      endpoints.put(life.id(), known);
    }
    return known.availability();
  }

  private record Known(EndpointLife life, EndpointAvailability availability) {}
}

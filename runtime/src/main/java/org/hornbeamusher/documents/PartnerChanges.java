package org.hornbeamusher.documents;

import java.util.HashMap;
import java.util.Map;
import org.hornbeamusher.ids.ServiceName;

/**
 * A partner's row in the table. It is small, because entries poll it.
 *
 * @param changes number of the partner's accepted changes
 * @param budget rate limit of further changes
 * @param versions the version of each of the partner's documents, tombstones included
 */
record PartnerChanges(long changes, ChangeBudget budget, Map<ServiceName, Long> versions) {

  PartnerChanges {
    versions = Map.copyOf(versions);
  }

  static PartnerChanges none(long now) {
    return new PartnerChanges(0, ChangeBudget.full(now), Map.of());
  }

  PartnerChanges withAcceptedChange(ServiceName service, long version, ChangeBudget remaining) {
    Map<ServiceName, Long> next = new HashMap<>(versions);
    next.put(service, version);
    return new PartnerChanges(changes + 1, remaining, next);
  }

  PartnerChanges withBudget(ChangeBudget remaining) {
    return new PartnerChanges(changes, remaining, versions);
  }
}

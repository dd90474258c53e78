package org.hornbeamusher.documents;

import java.util.HashMap;
import java.util.Map;
import org.hornbeamusher.ids.ServiceName;

/**
 * A partner's row: the small one that readers poll.
 *
 * @param changes counts the partner's accepted changes
 * @param budget what bounds further changes
 * @param versions the version of each of the partner's documents, tombstones included
 */
record PartnerChanges(long changes, ChangeBudget budget, Map<ServiceName, Long> versions) {

  PartnerChanges {
    versions = Map.copyOf(versions);
  }

  static PartnerChanges none(long now) {
    return new PartnerChanges(0, ChangeBudget.full(now), Map.of());
  }

  PartnerChanges accepted(ServiceName service, long version, ChangeBudget left) {
    Map<ServiceName, Long> next = new HashMap<>(versions);
    next.put(service, version);
    return new PartnerChanges(changes + 1, left, next);
  }

  PartnerChanges charged(ChangeBudget left) {
    return new PartnerChanges(changes, left, versions);
  }
}

package org.hornbeamusher.entry;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.hornbeamusher.ids.ServiceName;
import org.hornbeamusher.status.ProcessStatus;

/**
 * Remembers the quarantined requests that were sent to this entry, for its status. Bounded, because
 * a caller may send any number of them: the one that was refused least recently is forgotten.
 */
final class QuarantineLog {

  private static final int MOST = 100;

  private record Refused(ServiceName service, long untilMillis) {}

  private final Map<Long, Refused> refused =
      new LinkedHashMap<>(16, 0.75f, true) {
        private static final long serialVersionUID = 1L;

        @Override
        protected boolean removeEldestEntry(Map.Entry<Long, Refused> eldest) {
          return size() > MOST;
        }
      };

  synchronized void refused(ServiceName service, long fingerprint, long untilMillis) {
    refused.put(fingerprint, new Refused(service, untilMillis));
  }

  /** Returns those that are still refused. */
  synchronized List<ProcessStatus.QuarantinedRequest> status(long now) {
    refused.values().removeIf(entry -> entry.untilMillis() <= now);
    return refused.entrySet().stream()
        .map(
            entry ->
                new ProcessStatus.QuarantinedRequest(
                    entry.getValue().service(),
                    Long.toHexString(entry.getKey()),
                    entry.getValue().untilMillis()))
        .toList();
  }
}

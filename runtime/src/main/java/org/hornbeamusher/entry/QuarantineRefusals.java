package org.hornbeamusher.entry;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.hornbeamusher.ids.ServiceName;
import org.hornbeamusher.status.ProcessStatus;

/**
 * The quarantined requests that this entry refused recently, shown in its status. Bounded, because
 * a caller may send any number of them: the least recently refused one is evicted.
 */
final class QuarantineRefusals {

  private static final int MAX_ENTRIES = 100;

  private record Refusal(ServiceName service, long untilMillis) {}

  private final Map<Long, Refusal> refusals =
      new LinkedHashMap<>(16, 0.75f, true) {
        private static final long serialVersionUID = 1L;

        @Override
        protected boolean removeEldestEntry(Map.Entry<Long, Refusal> eldest) {
          return size() > MAX_ENTRIES;
        }
      };

  synchronized void record(ServiceName service, long fingerprint, long untilMillis) {
    refusals.put(fingerprint, new Refusal(service, untilMillis));
  }

  /** Returns those that are still in quarantine and removes the others. */
  synchronized List<ProcessStatus.QuarantinedRequest> status(long now) {
    refusals.values().removeIf(entry -> entry.untilMillis() <= now);
    return refusals.entrySet().stream()
        .map(
            entry ->
                new ProcessStatus.QuarantinedRequest(
                    entry.getValue().service(),
                    Long.toHexString(entry.getKey()),
                    entry.getValue().untilMillis()))
        .toList();
  }
}

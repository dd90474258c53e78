package org.hornbeamusher.scheduling;

import java.util.Map;
import org.hornbeamusher.ids.PartnerId;

/**
 * Figures of one endpoint.
 *
 * @param slots adapters it holds at once; 0 for a plain service
 * @param batch requests it runs at once
 * @param queueLimit most requests that wait here in all
 * @param minimumStayMillis how long a loaded adapter is kept at least
 * @param tokensPerSecond what the endpoint generates for one request
 * @param loadMillis expected time of one load
 * @param permits whether loads wait for {@link AgentScheduler#permitGranted}
 * @param partnerShares each partner's guaranteed part of the endpoint
 */
public record SchedulerSettings(
    int slots,
    int batch,
    int queueLimit,
    long minimumStayMillis,
    double tokensPerSecond,
    long loadMillis,
    boolean permits,
    Map<PartnerId, Integer> partnerShares) {

  /** Copies the map. */
  public SchedulerSettings {
    partnerShares = Map.copyOf(partnerShares);
  }
}

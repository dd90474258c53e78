package org.hornbeamusher.scheduling;

import java.util.EnumSet;
import java.util.Map;
import java.util.Set;
import org.hornbeamusher.ids.PartnerId;

/**
 * Scheduler settings of one endpoint.
 *
 * @param slots maximum number of resident adapters; 0 for a service without adapters
 * @param batch maximum number of running requests
 * @param queueLimit maximum number of queued requests in total
 * @param minimumStayMillis how long a loaded adapter stays resident at least
 * @param tokensPerSecond generation rate of the endpoint for one request
 * @param loadMillis expected time of one load
 * @param permitsRequired whether loads wait for {@link AgentScheduler#permitGranted}
 * @param partnerShares weight of each partner's guaranteed share of the endpoint; 1 for a partner
 *     not listed
 * @param mechanisms the features that are switched on
 */
public record SchedulerSettings(
    int slots,
    int batch,
    int queueLimit,
    long minimumStayMillis,
    double tokensPerSecond,
    long loadMillis,
    boolean permitsRequired,
    Map<PartnerId, Integer> partnerShares,
    Set<SchedulerFeature> mechanisms) {

  /** Copies the collections. */
  public SchedulerSettings {
    partnerShares = Map.copyOf(partnerShares);
    mechanisms = Set.copyOf(mechanisms);
  }

  /**
   * Creates settings with every feature switched on.
   *
   * @param slots maximum number of resident adapters; 0 for a service without adapters
   * @param batch maximum number of running requests
   * @param queueLimit maximum number of queued requests in total
   * @param minimumStayMillis how long a loaded adapter stays resident at least
   * @param tokensPerSecond generation rate of the endpoint for one request
   * @param loadMillis expected time of one load
   * @param permitsRequired whether loads wait for {@link AgentScheduler#permitGranted}
   * @param partnerShares weight of each partner's guaranteed share of the endpoint; 1 for a partner
   *     not listed
   */
  public SchedulerSettings(
      int slots,
      int batch,
      int queueLimit,
      long minimumStayMillis,
      double tokensPerSecond,
      long loadMillis,
      boolean permitsRequired,
      Map<PartnerId, Integer> partnerShares) {
    this(
        slots,
        batch,
        queueLimit,
        minimumStayMillis,
        tokensPerSecond,
        loadMillis,
        permitsRequired,
        partnerShares,
        EnumSet.allOf(SchedulerFeature.class));
  }

  /**
   * Returns these settings with one feature switched off.
   *
   * @param mechanism the feature to switch off
   * @return a copy
   */
  public SchedulerSettings without(SchedulerFeature mechanism) {
    EnumSet<SchedulerFeature> rest = EnumSet.allOf(SchedulerFeature.class);
    rest.retainAll(mechanisms);
    rest.remove(mechanism);
    return new SchedulerSettings(
        slots,
        batch,
        queueLimit,
        minimumStayMillis,
        tokensPerSecond,
        loadMillis,
        permitsRequired,
        partnerShares,
        rest);
  }

  /**
   * Returns whether a feature is switched on.
   *
   * @param mechanism the feature
   * @return whether it is on
   */
  public boolean uses(SchedulerFeature mechanism) {
    return mechanisms.contains(mechanism);
  }
}

package org.hornbeamusher.scheduling;

import java.util.EnumSet;
import java.util.Map;
import java.util.Set;
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
 * @param partnerShares each partner's guaranteed part of the endpoint; 1 for those not named
 * @param mechanisms what is switched on
 */
public record SchedulerSettings(
    int slots,
    int batch,
    int queueLimit,
    long minimumStayMillis,
    double tokensPerSecond,
    long loadMillis,
    boolean permits,
    Map<PartnerId, Integer> partnerShares,
    Set<Mechanism> mechanisms) {

  /** Copies the collections. */
  public SchedulerSettings {
    partnerShares = Map.copyOf(partnerShares);
    mechanisms = Set.copyOf(mechanisms);
  }

  /**
   * Creates settings with every mechanism switched on.
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
  public SchedulerSettings(
      int slots,
      int batch,
      int queueLimit,
      long minimumStayMillis,
      double tokensPerSecond,
      long loadMillis,
      boolean permits,
      Map<PartnerId, Integer> partnerShares) {
    this(
        slots,
        batch,
        queueLimit,
        minimumStayMillis,
        tokensPerSecond,
        loadMillis,
        permits,
        partnerShares,
        EnumSet.allOf(Mechanism.class));
  }

  /**
   * Returns these settings with one mechanism switched off.
   *
   * @param mechanism what is left out
   * @return a copy
   */
  public SchedulerSettings without(Mechanism mechanism) {
    EnumSet<Mechanism> rest = EnumSet.allOf(Mechanism.class);
    rest.retainAll(mechanisms);
    rest.remove(mechanism);
    return new SchedulerSettings(
        slots,
        batch,
        queueLimit,
        minimumStayMillis,
        tokensPerSecond,
        loadMillis,
        permits,
        partnerShares,
        rest);
  }

  /**
   * Tells whether a mechanism is switched on.
   *
   * @param mechanism the mechanism
   * @return whether it is on
   */
  public boolean uses(Mechanism mechanism) {
    return mechanisms.contains(mechanism);
  }
}

package org.hornbeamusher.shares;

import java.util.TreeMap;
import org.hornbeamusher.routing.DecayedRate;

/** The demand of one account for one service, by the rank of the kind of request. */
final class AccountDemand {

  /** A run of half a second counts for less after five time constants of the rate. */
  private static final double IDLE_MILLIS_PER_SECOND = 5;

  private final ShareSettings settings;
  private final TreeMap<Integer, KindDemand> kinds = new TreeMap<>();
  private double weight = 1;

  AccountDemand(ShareSettings settings) {
    this.settings = settings;
  }

  void setWeight(double newWeight) {
    weight = newWeight;
  }

  double weight() {
    return weight;
  }

  boolean isTracked(int rank) {
    return kinds.containsKey(rank);
  }

  void track(int rank) {
    kinds.put(rank, new KindDemand(new DecayedRate(settings.windowMillis())));
  }

  void demanded(int rank, long millis, long now) {
    kinds.get(rank).rate.add(millis, now);
  }

  double perSecond(long now) {
    double sum = 0;
    for (KindDemand kind : kinds.values()) {
      sum += kind.rate.perSecond(now);
    }
    return sum;
  }

  /** Removes the kinds without demand. */
  void removeIdle(long now) {
    kinds.values().removeIf(kind -> kind.rate.perSecond(now) < IDLE_MILLIS_PER_SECOND);
  }

  int size() {
    return kinds.size();
  }

  /** Returns whether the next request of a kind is within the account's share. */
  boolean takeWithin(int rank, double fair, long now) {
    return kinds.get(rank).take(fractionWithin(rank, fair, now));
  }

  /**
   * Returns the fraction of the requests of a kind that is within the account's share. Each kind
   * gets the guaranteed fraction of its proportional part, the rest goes to the urgent ones first.
   */
  private double fractionWithin(int rank, double fair, long now) {
    double guaranteed = settings.guaranteedFraction() * fair / perSecond(now);
    double left = (1 - settings.guaranteedFraction()) * fair;
    for (KindDemand moreUrgent : kinds.headMap(rank).values()) {
      left -= (1 - guaranteed) * moreUrgent.rate.perSecond(now);
    }
    double demand = kinds.get(rank).rate.perSecond(now);
    return Math.min(1, guaranteed + Math.max(0, left) / demand);
  }

  /** The demand for one kind of request. */
  static final class KindDemand {

    private final DecayedRate rate;

    /** Requests that may be counted as within the share; at most one is carried over. */
    private double credit;

    KindDemand(DecayedRate rate) {
      this.rate = rate;
    }

    boolean take(double fraction) {
      credit = Math.min(credit + fraction, 1 + fraction);
      if (credit < 1) {
        return false;
      }
      credit--;
      return true;
    }
  }
}

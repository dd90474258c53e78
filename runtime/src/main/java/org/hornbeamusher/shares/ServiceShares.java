package org.hornbeamusher.shares;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.hornbeamusher.routing.DecayedRate;

/** The demand for one service by account, its capacity, and the fair level that follows. */
final class ServiceShares {

  private final ShareSettings settings;
  private final DecayedRate capacity;
  private final Map<String, AccountDemand> accounts = new HashMap<>();
  private double level = Double.POSITIVE_INFINITY;
  private long levelMillis = Long.MIN_VALUE;

  ServiceShares(ShareSettings settings) {
    this.settings = settings;
    this.capacity = new DecayedRate(settings.windowMillis());
  }

  int size() {
    return accounts.values().stream().mapToInt(AccountDemand::size).sum();
  }

  /** Makes sure that demand for a share can be counted; returns false if there are too many. */
  boolean track(ShareId share) {
    AccountDemand account = accounts.get(share.account());
    if (account != null && account.isTracked(share.rank())) {
      return true;
    }
    if (size() >= settings.maxShares()) {
      return false;
    }
    accounts
        .computeIfAbsent(share.account(), unused -> new AccountDemand(settings))
        .track(share.rank());
    return true;
  }

  /** Removes the shares without demand. */
  void removeIdle(long now) {
    accounts.values().forEach(demand -> demand.removeIdle(now));
    accounts.values().removeIf(demand -> demand.size() == 0);
  }

  void setWeight(String account, double weight) {
    accounts.get(account).setWeight(weight);
  }

  /** Counts demand for a tracked share. */
  void demanded(ShareId share, long millis, long now) {
    accounts.get(share.account()).demanded(share.rank(), millis, now);
  }

  /** Counts what has begun to run. */
  void started(long millis, long now) {
    capacity.add(millis, now);
  }

  /** Decides on a request of a tracked share whose demand is counted. */
  ShareDecision decide(ShareId share, double minimumDemand, long usageAgeMillis, long now) {
    updateLevel(now);
    AccountDemand account = accounts.get(share.account());
    double demand = account.perSecond(now);
    double fair = level * account.weight();
    ShareDecision.Standing standing;
    if (demand <= Math.max(minimumDemand, fair)) {
      standing = ShareDecision.Standing.BELOW;
    } else if (account.takeWithin(share.rank(), fair, now)) {
      standing = ShareDecision.Standing.WITHIN;
    } else {
      standing = ShareDecision.Standing.BEYOND;
    }
    return new ShareDecision(standing, demand, fair, capacity.perSecond(now), usageAgeMillis);
  }

  private void updateLevel(long now) {
    if (levelMillis != Long.MIN_VALUE && now - levelMillis < settings.levelAgeMillis()) {
      return;
    }
    levelMillis = now;
    List<MaxMin.Demand> demands = new ArrayList<>();
    double total = 0;
    for (AccountDemand account : accounts.values()) {
      double demand = account.perSecond(now);
      demands.add(new MaxMin.Demand(account.weight(), demand));
      total += demand;
    }
    double available = capacity.perSecond(now);
    level =
        total <= available * (1 + settings.tolerance())
            ? Double.POSITIVE_INFINITY
            : MaxMin.level(demands, available * (1 - settings.headroom()));
  }
}

package org.hornbeamusher.shares;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.hornbeamusher.quota.UsageTotals;
import org.hornbeamusher.routing.DecayedRate;

/**
 * Shares the capacity of each service between client accounts, over all entries: decides at one
 * entry whether a request is within its account's fair share.
 *
 * <p><b>Algorithm.</b> Core-stateless fair queueing (Stoica, Shenker, Zhang 1998) with the fair
 * level of {@link MaxMin}. No queue is shared and nothing is asked of another process for a
 * request:
 *
 * <ol>
 *   <li>Each entry counts what is asked for by account and kind of request, and what it begins to
 *       run, both in milliseconds of runs, and exchanges the sums with the other entries through
 *       the relays of the quotas. Demand and capacity of a service are the rates of these sums.
 *   <li>While the demand exceeds the capacity, the fair level is the amount for each unit of weight
 *       at which the capacity is used up: accounts that demand less get all of it.
 *   <li>An account that demands more has the fraction of its requests within its share that makes
 *       up its weight times the level, its urgent kinds first. Each entry applies that fraction to
 *       the requests that reach it, so entries need not agree on single requests.
 * </ol>
 *
 * <p>A request beyond the share is served behind those within theirs, and refused first where
 * capacity is lacking; it is not held back while capacity is free, so idle shares are lent. They
 * are given back within the time constant of the rates once their account asks for them.
 *
 * <p>Example: a service runs 100 requests a second, and accounts ask for 10, 30 and 200 of them.
 * The level is 60: the first two get all they ask for, and of the third's requests three in ten are
 * within its share.
 *
 * <p><b>Load.</b> One or two accounts send many times their usual while the others go on as before,
 * at entries that callers reach unevenly. Without shares all accounts lose the same fraction of
 * their requests, whoever causes the overload.
 *
 * <p><b>Failure.</b> An entry that no relay reaches decides on its own demand and capacity, which
 * are both too small by the same factor. What an entry did not report before it ended is missing
 * from both sums for as long as the time constant.
 *
 * <p><b>Rejected alternatives.</b> A queue for each account at the agents (deficit round robin):
 * fair at each engine, but an account that spreads over all engines gets a share at each of them,
 * and a request that waits for its turn in a queue cannot go to another engine. A limit on requests
 * in flight by account, divided among the entries: refuses while capacity is idle, or needs a
 * message for each request.
 *
 * @param <R> identifies a relay
 */
public final class FairShares<R> {

  /** Stands for all that a service begins to run, in place of a rank. */
  private static final int CAPACITY = -1;

  private final ShareSettings settings;
  private final UsageTotals<R, ShareId> totals = new UsageTotals<>();
  private final Map<String, ServiceShares> services = new HashMap<>();
  private int shares;
  private long reportedMillis = Long.MIN_VALUE;

  /**
   * Creates an instance without demand.
   *
   * @param settings how capacity is shared
   */
  public FairShares(ShareSettings settings) {
    this.settings = settings;
  }

  /**
   * Counts a request that has arrived and decides whether it is within its share.
   *
   * @param share what it counts against; requests without an account share nothing
   * @param weight the weight of its account
   * @param costMillis how long a request of its kind usually runs
   * @param now milliseconds
   * @return where it stands in the share of its account
   */
  public ShareDecision arrived(ShareId share, double weight, long costMillis, long now) {
    if (share.account().isEmpty()) {
      return ShareDecision.UNSHARED;
    }
    ServiceShares service = service(share.service());
    if (!service.count(share, weight, costMillis, now)) {
      return ShareDecision.UNSHARED;
    }
    totals.add(share, costMillis);
    return service.decide(share, settings.minimumDemand(costMillis), now);
  }

  /**
   * Counts a request that has begun to run.
   *
   * @param share what it counts against
   * @param costMillis how long a request of its kind usually runs
   * @param now milliseconds
   */
  public void started(ShareId share, long costMillis, long now) {
    if (!share.account().isEmpty()) {
      service(share.service()).capacity.add(costMillis, now);
      totals.add(new ShareId(share.service(), "", CAPACITY), costMillis);
    }
  }

  /**
   * Records that a connection to a relay was opened.
   *
   * @param relay the relay
   */
  public void relayConnected(R relay) {
    totals.relayConnected(relay);
  }

  /**
   * Records that the connection to a relay was lost.
   *
   * @param relay the relay
   */
  public void relayDisconnected(R relay) {
    totals.relayDisconnected(relay);
  }

  /**
   * Returns the usage not yet reported to a relay and marks it as reported.
   *
   * @param relay a connected relay
   * @return milliseconds of runs by the name of the share
   */
  public Map<String, Long> takeIncrements(R relay) {
    Map<String, Long> increments = new HashMap<>();
    totals
        .takeIncrements(relay)
        .forEach((share, millis) -> increments.put(share.usageName(), millis));
    return increments;
  }

  /**
   * Applies a report of a relay.
   *
   * @param relay the relay; ignored if it is not connected
   * @param increments usage of other entries since its last report; names that are not of shares
   *     are ignored
   * @param now milliseconds
   */
  public void usageReported(R relay, Map<String, Long> increments, long now) {
    if (!totals.connected(relay)) {
      return;
    }
    reportedMillis = now;
    Map<ShareId, Long> byShare = new HashMap<>();
    increments.forEach(
        (name, millis) -> ShareId.parse(name).ifPresent(share -> byShare.put(share, millis)));
    totals.receive(relay, byShare);
    byShare.keySet().forEach(share -> applyRemoteUsage(share, now));
  }

  private void applyRemoteUsage(ShareId share, long now) {
    long millis = totals.takeRemoteChange(share);
    ServiceShares service = service(share.service());
    if (share.rank() == CAPACITY) {
      service.capacity.add(millis, now);
    } else {
      service.countRemote(share, millis, now);
    }
  }

  /**
   * Counts the shares.
   *
   * @return accounts by service and kind of request
   */
  public int size() {
    return shares;
  }

  private ServiceShares service(String name) {
    return services.computeIfAbsent(name, unused -> new ServiceShares());
  }

  /** The demand for one service and its capacity. */
  private final class ServiceShares {

    private final DecayedRate capacity = new DecayedRate(settings.windowMillis());
    private final Map<String, AccountDemand> accounts = new HashMap<>();
    private double level = Double.POSITIVE_INFINITY;
    private long levelMillis = Long.MIN_VALUE;

    /** Counts a request of this entry; returns false if its share cannot be counted. */
    boolean count(ShareId share, double weight, long costMillis, long now) {
      KindDemand demand = demand(share);
      if (demand == null) {
        return false;
      }
      accounts.get(share.account()).weight = weight;
      demand.rate.add(costMillis, now);
      return true;
    }

    void countRemote(ShareId share, long millis, long now) {
      KindDemand demand = demand(share);
      if (demand != null) {
        demand.rate.add(millis, now);
      }
    }

    private KindDemand demand(ShareId share) {
      AccountDemand account = accounts.get(share.account());
      KindDemand known = account == null ? null : account.kinds.get(share.rank());
      if (known != null || shares >= settings.maxShares()) {
        return known;
      }
      shares++;
      return accounts
          .computeIfAbsent(share.account(), unused -> new AccountDemand())
          .kinds
          .computeIfAbsent(
              share.rank(), unused -> new KindDemand(new DecayedRate(settings.windowMillis())));
    }

    ShareDecision decide(ShareId share, double minimumDemand, long now) {
      updateLevel(now);
      AccountDemand account = accounts.get(share.account());
      double demand = account.perSecond(now);
      double fair = level * account.weight;
      ShareDecision.Standing standing;
      if (demand <= Math.max(minimumDemand, fair)) {
        standing = ShareDecision.Standing.BELOW;
      } else if (account.kinds.get(share.rank()).take(account.fraction(share.rank(), fair, now))) {
        standing = ShareDecision.Standing.WITHIN;
      } else {
        standing = ShareDecision.Standing.BEYOND;
      }
      long age = reportedMillis == Long.MIN_VALUE ? -1 : now - reportedMillis;
      return new ShareDecision(standing, demand, fair, capacity.perSecond(now), age);
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
        demands.add(new MaxMin.Demand(account.weight, demand));
        total += demand;
      }
      double available = capacity.perSecond(now);
      level =
          total <= available * (1 + settings.tolerance())
              ? Double.POSITIVE_INFINITY
              : MaxMin.level(demands, available * (1 - settings.headroom()));
    }
  }

  /** The demand of one account for one service, by the rank of the kind of request. */
  private final class AccountDemand {

    private double weight = 1;
    private final TreeMap<Integer, KindDemand> kinds = new TreeMap<>();

    double perSecond(long now) {
      double sum = 0;
      for (KindDemand kind : kinds.values()) {
        sum += kind.rate.perSecond(now);
      }
      return sum;
    }

    /**
     * Returns the fraction of the requests of a kind that is within the account's share. Each kind
     * gets the guaranteed fraction of its proportional part, the rest goes to the urgent ones
     * first.
     */
    double fraction(int rank, double fair, long now) {
      double guaranteed = settings.guaranteedFraction() * fair / perSecond(now);
      double left = (1 - settings.guaranteedFraction()) * fair;
      for (KindDemand moreUrgent : kinds.headMap(rank).values()) {
        left -= (1 - guaranteed) * moreUrgent.rate.perSecond(now);
      }
      double demand = kinds.get(rank).rate.perSecond(now);
      return Math.min(1, guaranteed + Math.max(0, left) / demand);
    }
  }

  /** The demand for one kind of request. */
  private static final class KindDemand {

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

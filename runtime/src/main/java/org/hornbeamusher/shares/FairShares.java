package org.hornbeamusher.shares;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.hornbeamusher.quota.UsageAtStep;
import org.hornbeamusher.quota.UsageNames;
import org.hornbeamusher.quota.WindowedUsage;

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
  private final WindowedUsage<R, ShareId> usage =
      new WindowedUsage<>(UsageNames.SHARE_WINDOW_MILLIS, ShareId::usageName);
  private final Map<String, ServiceShares> services = new HashMap<>();
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
    if (!track(service, share, now)) {
      return ShareDecision.UNSHARED;
    }
    usage.add(share, costMillis, now, now);
    service.demanded(share, costMillis, now);
    service.setWeight(share.account(), weight);
    return service.decide(share, settings.minimumDemand(costMillis), usageAgeMillis(now), now);
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
      service(share.service()).started(costMillis, now);
      usage.add(new ShareId(share.service(), "", CAPACITY), costMillis, now, now);
    }
  }

  /**
   * Records that a connection to a relay was opened.
   *
   * @param relay the relay
   * @param now milliseconds
   */
  public void relayConnected(R relay, long now) {
    usage.relayConnected(relay, now);
  }

  /**
   * Records that the connection to a relay was lost.
   *
   * @param relay the relay
   */
  public void relayDisconnected(R relay) {
    usage.relayDisconnected(relay);
  }

  /**
   * Returns the usage not yet reported to a relay and marks it as reported.
   *
   * @param relay a connected relay
   * @param now milliseconds
   * @return milliseconds of runs by the name of the share and by step
   */
  public List<UsageAtStep> takeReport(R relay, long now) {
    return usage.takeReport(relay, now);
  }

  /**
   * Applies a report of a relay.
   *
   * @param relay the relay; ignored if it is not connected
   * @param step the relay's step when it made the report
   * @param reported the steps in which the usage of other entries has changed; names that are not
   *     of shares are ignored
   * @param validMillis for how long its statements are complete unless it reports again
   * @param now milliseconds
   */
  public void usageReported(
      R relay, long step, List<UsageAtStep> reported, long validMillis, long now) {
    if (!usage.connected(relay)) {
      return;
    }
    reportedMillis = now;
    usage.relayUpdated(relay, validMillis, now);
    for (UsageAtStep one : reported) {
      ShareId.parse(one.name())
          .filter(share -> isTracked(share, now))
          .ifPresent(share -> applyRemoteUsage(relay, share, step, one, now));
    }
  }

  /** Services that no request of this entry goes to are left out, so that state is bounded. */
  private boolean isTracked(ShareId share, long now) {
    ServiceShares service = services.get(share.service());
    return service != null && (share.rank() == CAPACITY || track(service, share, now));
  }

  /** Makes sure that demand for a share can be counted, in place of idle ones if need be. */
  private boolean track(ServiceShares service, ShareId share, long now) {
    if (service.size() >= settings.maxShares()) {
      service.removeIdle(now);
    }
    return service.track(share);
  }

  private void applyRemoteUsage(R relay, ShareId share, long step, UsageAtStep reported, long now) {
    long millis = usage.receive(relay, share, reported.step(), step, reported.units(), now);
    ServiceShares service = services.get(share.service());
    if (share.rank() == CAPACITY) {
      service.started(millis, now);
    } else {
      service.demanded(share, millis, now);
    }
  }

  private long usageAgeMillis(long now) {
    return reportedMillis == Long.MIN_VALUE ? -1 : now - reportedMillis;
  }

  /**
   * Counts the shares.
   *
   * @return accounts by service and kind of request
   */
  public int size() {
    return services.values().stream().mapToInt(ServiceShares::size).sum();
  }

  private ServiceShares service(String name) {
    return services.computeIfAbsent(name, unused -> new ServiceShares(settings));
  }
}

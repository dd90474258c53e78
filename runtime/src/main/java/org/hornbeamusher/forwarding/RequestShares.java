package org.hornbeamusher.forwarding;

import java.net.InetSocketAddress;
import java.util.Optional;
import java.util.OptionalInt;
import org.hornbeamusher.accounts.AccountName;
import org.hornbeamusher.accounts.ClientAccount;
import org.hornbeamusher.clock.Clock;
import org.hornbeamusher.directory.AdapterVersion;
import org.hornbeamusher.events.EventLog;
import org.hornbeamusher.events.EventType;
import org.hornbeamusher.failure.FailureType;
import org.hornbeamusher.failure.HornbeamusherException;
import org.hornbeamusher.placement.Placement;
import org.hornbeamusher.routes.Route;
import org.hornbeamusher.shares.FairShares;
import org.hornbeamusher.shares.RunTimes;
import org.hornbeamusher.shares.ShareDecision;
import org.hornbeamusher.shares.ShareId;

/**
 * Applies the fair shares of client accounts to requests: ranks requests beyond the share of their
 * account behind the others, and refuses them first where adapter slots are lacking.
 */
final class RequestShares {

  /** The weight of every account. */
  private static final double WEIGHT = 1;

  /** Within this time, accounts that ask for less get their shares back from those beyond. */
  private static final long RETRY_AFTER_MILLIS = 1_000;

  private final boolean used;
  private final FairShares<InetSocketAddress> shares;
  private final RunTimes runTimes = new RunTimes();
  private final ForwardMetrics metrics;
  private final Clock clock;

  /**
   * Creates the shares of an entry.
   *
   * @param used whether requests are ranked and refused by shares; if not, all are within theirs
   */
  RequestShares(
      boolean used, FairShares<InetSocketAddress> shares, ForwardMetrics metrics, Clock clock) {
    this.used = used;
    this.shares = shares;
    this.metrics = metrics;
    this.clock = clock;
  }

  /** Counts a request that has arrived and decides whether it is within its share. */
  RequestShare arrived(
      String requestId, Optional<ClientAccount> account, Route route, String service) {
    // The account's priority takes precedence over the route's, except between its own requests.
    int rank = account.map(ClientAccount::rank).orElse(OptionalInt.empty()).orElse(route.rank());
    String name = account.map(holder -> holder.name().value()).orElse("");
    ShareId id = new ShareId(service, name, route.rank());
    long cost = runTimes.millis(route.name());
    if (!used) {
      return new RequestShare(id, rank, cost, ShareDecision.UNSHARED);
    }
    ShareDecision decision = shares.arrived(id, WEIGHT, cost, clock.millis());
    RequestShare share = new RequestShare(id, rank, cost, decision);
    if (decision.beyond()) {
      metrics.rankedDown(new AccountName(name));
      log(requestId, share, "ranked-down");
    }
    return share;
  }

  /** Records that a request is sent to an endpoint for the first time. */
  void started(RequestShare share) {
    if (used) {
      shares.started(share.id(), share.costMillis(), clock.millis());
    }
  }

  /** Records the duration of a completed run. */
  void completed(Route route, long tookMillis) {
    runTimes.record(route.name(), tookMillis);
  }

  /**
   * Decides whether a request may wait for its adapter. Beyond its account's share it gives way
   * where no slot is free, at the endpoint that suits it best: it would take one that is needed for
   * a request within its share. A base model that is not loaded yet shows nothing about the slots.
   *
   * @return the refusal, or empty if it may wait
   */
  Optional<HornbeamusherException> refusal(
      String requestId, RequestShare share, Placement.Assigned at, AdapterVersion adapter) {
    if (!share.decision().beyond()
        || at.canStartNow()
        || at.canLoadNow()
        || at.endpoint().isLoading(adapter)
        || !at.endpoint().hasModel(adapter.key().model())) {
      return Optional.empty();
    }
    metrics.refusedBeyondShare();
    log(requestId, share, "refused");
    return Optional.of(
        HornbeamusherException.notRun(FailureType.SHARE_EXCEEDED, share.id().account())
            .retryAfter(RETRY_AFTER_MILLIS));
  }

  private static void log(String requestId, RequestShare share, String outcome) {
    ShareDecision decision = share.decision();
    EventLog.log(
        EventType.SHARE_EXCEEDED,
        "id",
        requestId,
        "service",
        share.id().service(),
        "account",
        share.id().account(),
        "outcome",
        outcome,
        "kind_rank",
        share.id().rank(),
        "rank",
        share.baseRank(),
        "effective_rank",
        share.rank(),
        "demand_ms_per_s",
        Math.round(decision.demand()),
        "fair_ms_per_s",
        Math.round(decision.fair()),
        "capacity_ms_per_s",
        Math.round(decision.capacity()),
        "usage_age_ms",
        decision.usageAgeMillis());
  }
}

package org.hornbeamusher.forwarding;

import java.util.Optional;
import org.hornbeamusher.accounts.ClientAccount;
import org.hornbeamusher.clock.Clock;
import org.hornbeamusher.directory.AdapterVersion;
import org.hornbeamusher.events.EventLog;
import org.hornbeamusher.events.EventType;
import org.hornbeamusher.failure.FailureType;
import org.hornbeamusher.failure.HornbeamusherException;
import org.hornbeamusher.placement.Placement;
import org.hornbeamusher.placement.PlacementRequest;
import org.hornbeamusher.quota.QuotaCharge;
import org.hornbeamusher.quota.QuotaDecision;
import org.hornbeamusher.quota.QuotaMeter;
import org.hornbeamusher.routes.Configuration;
import org.hornbeamusher.routes.CurrentConfiguration;
import org.hornbeamusher.routes.LatestAdapterVersions;
import org.hornbeamusher.routes.Route;
import org.hornbeamusher.routing.RendezvousHash;

/**
 * Admits or refuses requests: determines the route and the client account, charges the account's
 * quota, decides whether the request is within the account's fair share and sets the deadline, in
 * this order. A refused request has not run.
 */
final class RequestAdmission {

  private final CurrentConfiguration configuration;
  private final LatestAdapterVersions versions;
  private final SupersededVersions superseded;
  private final AccountCheck accounts;
  private final QuotaMeter<?> meter;
  private final UsageExchange usage;
  private final RequestShares shares;
  private final Clock clock;
  private final QuotaLog quotaLog = new QuotaLog();

  RequestAdmission(
      CurrentConfiguration configuration,
      LatestAdapterVersions versions,
      SupersededVersions superseded,
      AccountCheck accounts,
      QuotaMeter<?> meter,
      UsageExchange usage,
      RequestShares shares,
      Clock clock) {
    this.configuration = configuration;
    this.versions = versions;
    this.superseded = superseded;
    this.accounts = accounts;
    this.meter = meter;
    this.usage = usage;
    this.shares = shares;
    this.clock = clock;
  }

  /**
   * Admits a request.
   *
   * @throws HornbeamusherException if it is refused
   */
  RoutedRequest admit(CallerRequest request, RequestMetadata metadata) {
    Configuration current =
        configuration
            .current()
            .orElseThrow(
                () ->
                    HornbeamusherException.notRun(FailureType.NOT_READY)
                        .retryAfter(RetryAfterPolicy.NEXT_LIST_MILLIS));
    Route route =
        current
            .match(request.hostName(), request.path())
            .orElseThrow(
                () -> HornbeamusherException.notRun(FailureType.UNKNOWN_PATH, request.path()));
    Optional<ClientAccount> account = identify(current, route, metadata);
    long hash = RendezvousHash.hash(metadata.id());
    long budget = Math.min(route.timeoutMillis(), metadata.budgetMillis().orElse(Long.MAX_VALUE));
    String service = route.service(hash);
    RequestCharge charge =
        new RequestCharge(
            metadata.id(),
            account.map(holder -> charge(holder, metadata, current)),
            meter,
            quotaLog,
            usage::changed,
            clock);
    return new RoutedRequest(
        metadata,
        route,
        service,
        account,
        charge,
        shares.arrived(metadata.id(), account, route, service),
        request.arrivedMillis() + budget,
        new PlacementRequest(
            hash,
            metadata.adapter().map(key -> new AdapterVersion(key, versions.of(key))),
            metadata.promptTokens(),
            metadata.outputTokens(),
            request.body().length,
            metadata.parts()));
  }

  /** Returns whether a request may no longer begin on the version that it was placed for. */
  boolean isVersionExpired(PlacementRequest request) {
    return request
        .adapter()
        .filter(adapter -> superseded.isExpired(adapter, clock.millis()))
        .isPresent();
  }

  /** Returns the inputs of placement with the newest known version of the adapter. */
  PlacementRequest atNewestVersion(PlacementRequest request) {
    return request
        .adapter()
        .map(adapter -> new AdapterVersion(adapter.key(), versions.of(adapter.key())))
        .filter(newest -> newest.version() > request.adapter().get().version())
        .map(request::withAdapter)
        .orElse(request);
  }

  /** Checks a request again before it is sent; returns empty if it may be sent. */
  Optional<HornbeamusherException> refusal(RoutedRequest request) {
    Optional<HornbeamusherException> refusal =
        configuration.current().flatMap(current -> accounts.refusal(current, request));
    refusal.ifPresent(
        why ->
            log(
                request.metadata(),
                request.accountName().map(Object::toString).orElse(""),
                why.type(),
                configuration.current().map(Configuration::version).orElse(0L)));
    return refusal;
  }

  /** Decides whether a request may wait for its adapter where it was placed. */
  Optional<HornbeamusherException> waitRefusal(RoutedRequest request, Placement.Assigned at) {
    return request
        .placementRequest()
        .adapter()
        .flatMap(adapter -> shares.refusal(request.metadata().id(), request.share(), at, adapter));
  }

  /** Records that a request is sent to an endpoint for the first time. */
  void started(RoutedRequest request) {
    shares.started(request.share());
  }

  /** Records that an endpoint has completed a request. */
  void completed(RoutedRequest request, long tookMillis) {
    shares.completed(request.route(), tookMillis);
  }

  private Optional<ClientAccount> identify(
      Configuration current, Route route, RequestMetadata metadata) {
    try {
      return accounts.identify(current, route, metadata);
    } catch (HornbeamusherException e) {
      log(metadata, "", e.type(), current.version());
      throw e.type() == FailureType.KEY_UNCONFIRMED
          ? e.retryAfter(RetryAfterPolicy.OTHER_ENTRY_MILLIS)
          : e;
    }
  }

  private QuotaCharge charge(
      ClientAccount account, RequestMetadata metadata, Configuration current) {
    long cost = account.quota().cost(metadata.tokens());
    long now = clock.millis();
    return switch (meter.admit(account.name(), cost, now)) {
      case QuotaDecision.Admitted admitted -> {
        quotaLog.admitted(
            metadata.id(),
            account,
            admitted,
            current.version(),
            () -> meter.statedUnits(account.name(), now),
            now);
        usage.changed(account.name());
        yield admitted.charge();
      }
      case QuotaDecision.Exceeded exceeded -> {
        quotaLog.refused(metadata.id(), account, cost, exceeded, current.version());
        throw HornbeamusherException.notRun(FailureType.QUOTA_EXCEEDED, account.name())
            .retryAfter(exceeded.retryAfterMillis());
      }
    };
  }

  private void log(RequestMetadata metadata, String account, FailureType cause, long version) {
    EventLog.log(
        EventType.ACCOUNT_REFUSED,
        "id",
        metadata.id(),
        "account",
        account,
        "cause",
        cause.label(),
        "configuration",
        version,
        "proof_age_ms",
        accounts.proofAgeMillis());
  }
}

package org.hornbeamusher.forwarding;

import java.util.Optional;
import org.hornbeamusher.accounts.ClientAccount;
import org.hornbeamusher.clock.Clock;
import org.hornbeamusher.directory.HeldAdapter;
import org.hornbeamusher.events.EventLog;
import org.hornbeamusher.events.EventType;
import org.hornbeamusher.failure.FailureType;
import org.hornbeamusher.failure.HornbeamusherException;
import org.hornbeamusher.placement.PlacementRequest;
import org.hornbeamusher.quota.QuotaCharge;
import org.hornbeamusher.quota.QuotaDecision;
import org.hornbeamusher.quota.QuotaMeter;
import org.hornbeamusher.routes.Configuration;
import org.hornbeamusher.routes.ConfigurationInForce;
import org.hornbeamusher.routes.Route;
import org.hornbeamusher.routes.VersionsInForce;
import org.hornbeamusher.routing.Rendezvous;

/**
 * Decides whether a request is admitted, and as what: its route, its client account, its account's
 * quota and its deadline, in this order. Whatever it refuses has not run.
 */
final class RequestIntake {

  private final ConfigurationInForce configuration;
  private final VersionsInForce versions;
  private final AccountCheck accounts;
  private final QuotaMeter<?> meter;
  private final UsageExchange usage;
  private final Clock clock;

  RequestIntake(
      ConfigurationInForce configuration,
      VersionsInForce versions,
      AccountCheck accounts,
      QuotaMeter<?> meter,
      UsageExchange usage,
      Clock clock) {
    this.configuration = configuration;
    this.versions = versions;
    this.accounts = accounts;
    this.meter = meter;
    this.usage = usage;
    this.clock = clock;
  }

  /**
   * Admits a request.
   *
   * @throws HornbeamusherException when it is refused
   */
  RoutedRequest admit(CallerRequest request, RequestFacts facts) {
    Configuration current =
        configuration
            .current()
            .orElseThrow(
                () ->
                    HornbeamusherException.notRun(FailureType.NOT_READY)
                        .retryAfter(ReturnTime.NEXT_LIST_MILLIS));
    Route route =
        current
            .match(request.hostName(), request.path())
            .orElseThrow(
                () -> HornbeamusherException.notRun(FailureType.UNKNOWN_PATH, request.path()));
    Optional<ClientAccount> account = identify(current, route, facts);
    long hash = Rendezvous.hash(facts.id());
    long budget = Math.min(route.timeoutMillis(), facts.budgetMillis().orElse(Long.MAX_VALUE));
    return new RoutedRequest(
        facts,
        route,
        route.service(hash),
        account,
        account.map(holder -> charge(holder, facts, current)),
        request.arrivedMillis() + budget,
        new PlacementRequest(
            hash,
            facts.adapter().map(key -> new HeldAdapter(key, versions.of(key))),
            facts.promptTokens(),
            facts.outputTokens(),
            request.body().length,
            facts.parts()));
  }

  /** Checks a request again that is about to be sent; empty when it may be. */
  Optional<HornbeamusherException> refusal(RoutedRequest request) {
    Optional<HornbeamusherException> refusal =
        configuration.current().flatMap(current -> accounts.refusal(current, request));
    refusal.ifPresent(
        why ->
            log(
                request.facts(),
                request.accountName().map(Object::toString).orElse(""),
                why.type(),
                configuration.current().map(Configuration::version).orElse(0L)));
    return refusal;
  }

  /** Gives back what a request has taken of its account's quota that has not run. */
  void notRun(RoutedRequest request) {
    request.charge().ifPresent(charge -> meter.giveBack(charge, clock.millis()));
  }

  private Optional<ClientAccount> identify(Configuration current, Route route, RequestFacts facts) {
    try {
      return accounts.identify(current, route, facts);
    } catch (HornbeamusherException e) {
      log(facts, "", e.type(), current.version());
      throw e.type() == FailureType.KEY_UNCONFIRMED
          ? e.retryAfter(ReturnTime.OTHER_ENTRY_MILLIS)
          : e;
    }
  }

  private QuotaCharge charge(ClientAccount account, RequestFacts facts, Configuration current) {
    long cost = account.quota().cost(facts.tokens());
    return switch (meter.admit(account.name(), cost, clock.millis())) {
      case QuotaDecision.Admitted admitted -> {
        usage.changed(account.name());
        yield admitted.charge();
      }
      case QuotaDecision.Exceeded exceeded -> {
        EventLog.log(
            EventType.ACCOUNT_REFUSED,
            "id",
            facts.id(),
            "account",
            account.name(),
            "cause",
            FailureType.QUOTA_EXCEEDED.label(),
            "configuration",
            current.version(),
            "cost",
            cost,
            "level",
            exceeded.level(),
            "rate_per_s",
            account.quota().ratePerSecond(),
            "reachable",
            exceeded.reachable(),
            "entries",
            exceeded.entries(),
            "retry_after_ms",
            exceeded.retryAfterMillis());
        throw HornbeamusherException.notRun(FailureType.QUOTA_EXCEEDED, account.name())
            .retryAfter(exceeded.retryAfterMillis());
      }
    };
  }

  private void log(RequestFacts facts, String account, FailureType cause, long version) {
    EventLog.log(
        EventType.ACCOUNT_REFUSED,
        "id",
        facts.id(),
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

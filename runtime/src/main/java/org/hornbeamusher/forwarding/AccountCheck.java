package org.hornbeamusher.forwarding;

import java.util.Optional;
import org.hornbeamusher.accounts.ClientAccount;
import org.hornbeamusher.failure.FailureType;
import org.hornbeamusher.failure.HornbeamusherException;
import org.hornbeamusher.routes.Configuration;
import org.hornbeamusher.routes.ConfigurationFreshness;
import org.hornbeamusher.routes.RevocationBounds;
import org.hornbeamusher.routes.Route;

/**
 * Decides whom a request is run for.
 *
 * <p>A key may have been taken away while this entry could not see it. A keyed request is therefore
 * served only while the proof that the configuration in force is the newest one is younger than the
 * bound for revocations, on arrival and again before each send. Beyond it the request is refused at
 * once and may be sent to another entry.
 *
 * <p>The other way round, a key that is not known here may be newer than what this entry knows. It
 * is refused for good only while the proof is as young as a change may take to be in force.
 */
final class AccountCheck {

  private final ConfigurationFreshness freshness;
  private final RevocationBounds bounds;

  AccountCheck(ConfigurationFreshness freshness, RevocationBounds bounds) {
    this.freshness = freshness;
    this.bounds = bounds;
  }

  /**
   * Finds the account of a request that has just arrived; empty where callers need no key.
   *
   * @throws HornbeamusherException when the request may not run
   */
  Optional<ClientAccount> identify(Configuration configuration, Route route, RequestFacts facts) {
    if (!configuration.accounts().required() || route.anonymous()) {
      return Optional.empty();
    }
    if (!confirmed()) {
      throw HornbeamusherException.notRun(FailureType.KEY_UNCONFIRMED);
    }
    if (facts.emptyKey() || facts.keys().size() > 1) {
      throw denied(FailureType.KEY_MALFORMED, facts.keys().size());
    }
    if (facts.keys().isEmpty()) {
      throw denied(FailureType.KEY_MISSING);
    }
    Optional<ClientAccount> holder = configuration.accounts().holder(facts.keys().get(0));
    if (holder.isEmpty()) {
      throw denied(FailureType.KEY_UNKNOWN);
    }
    return holder;
  }

  /**
   * Checks again, before a send, a request that has waited.
   *
   * @param configuration what is in force now
   * @return why it may not be sent; empty when it may
   */
  Optional<HornbeamusherException> refusal(Configuration configuration, RoutedRequest request) {
    if (request.account().isEmpty()) {
      return Optional.empty();
    }
    if (!confirmed()) {
      return Optional.of(HornbeamusherException.notRun(FailureType.KEY_UNCONFIRMED));
    }
    boolean held =
        configuration
            .accounts()
            .holder(request.facts().keys().get(0))
            .map(ClientAccount::name)
            .equals(request.accountName());
    return held
        ? Optional.empty()
        : Optional.of(HornbeamusherException.notRun(FailureType.KEY_UNKNOWN));
  }

  /** Returns whether no key can have been taken away longer ago than allowed. */
  boolean confirmed() {
    return freshness.ageMillis() < bounds.servedMillis();
  }

  /** Returns whether {@link #confirmed} ends soon unless the table service is reached. */
  boolean expiring() {
    return freshness.ageMillis() >= bounds.leaveMillis();
  }

  long proofAgeMillis() {
    return freshness.ageMillis();
  }

  private HornbeamusherException denied(FailureType type, Object... arguments) {
    return freshness.ageMillis() <= bounds.applyMillis()
        ? HornbeamusherException.notRun(type, arguments)
        : HornbeamusherException.notRun(FailureType.KEY_UNCONFIRMED);
  }
}

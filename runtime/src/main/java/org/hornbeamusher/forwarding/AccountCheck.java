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
 * Finds the client account of a request by its API key.
 *
 * <p>A key may have been revoked while this entry could not read the configuration. A request with
 * a key is therefore served only if the current configuration was confirmed as the newest more
 * recently than the revocation bound allows. This is checked on arrival and again before each send.
 * Past the bound the request is refused at once and may be sent to another entry.
 *
 * <p>Conversely, a key that is unknown here may be newer than the current configuration. It is
 * rejected permanently only if the last confirmation is no older than the time that a change may
 * take to take effect.
 */
final class AccountCheck {

  private final ConfigurationFreshness freshness;
  private final RevocationBounds bounds;

  AccountCheck(ConfigurationFreshness freshness, RevocationBounds bounds) {
    this.freshness = freshness;
    this.bounds = bounds;
  }

  /**
   * Finds the account of a request that has just arrived; empty if no key is required.
   *
   * @throws HornbeamusherException if the request is refused
   */
  Optional<ClientAccount> identify(
      Configuration configuration, Route route, RequestMetadata metadata) {
    if (!configuration.accounts().keyRequired() || route.anonymous()) {
      return Optional.empty();
    }
    if (!confirmed()) {
      throw HornbeamusherException.notRun(FailureType.KEY_UNCONFIRMED);
    }
    if (metadata.emptyKey() || metadata.keys().size() > 1) {
      throw denied(FailureType.KEY_MALFORMED, metadata.keys().size());
    }
    if (metadata.keys().isEmpty()) {
      throw denied(FailureType.KEY_MISSING);
    }
    Optional<ClientAccount> holder = configuration.accounts().findByKey(metadata.keys().get(0));
    if (holder.isEmpty()) {
      throw denied(FailureType.KEY_UNKNOWN);
    }
    return holder;
  }

  /**
   * Checks the key of a request again before it is sent.
   *
   * @param configuration the current configuration
   * @return why it may not be sent; empty if it may be sent
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
            .findByKey(request.metadata().keys().get(0))
            .map(ClientAccount::name)
            .equals(request.accountName());
    return held
        ? Optional.empty()
        : Optional.of(HornbeamusherException.notRun(FailureType.KEY_UNKNOWN));
  }

  /**
   * Returns whether the configuration was confirmed recently enough to serve requests with keys.
   */
  boolean confirmed() {
    return freshness.ageMillis() < bounds.maxProofAgeMillis();
  }

  /** Returns whether {@link #confirmed} becomes false soon unless the table service is reached. */
  boolean expiring() {
    return freshness.ageMillis() >= bounds.unreadyAgeMillis();
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

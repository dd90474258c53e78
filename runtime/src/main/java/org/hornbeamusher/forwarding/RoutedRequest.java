package org.hornbeamusher.forwarding;

import java.util.Optional;
import java.util.OptionalInt;
import org.hornbeamusher.accounts.AccountName;
import org.hornbeamusher.accounts.ClientAccount;
import org.hornbeamusher.placement.PlacementRequest;
import org.hornbeamusher.quota.QuotaCharge;
import org.hornbeamusher.routes.Route;

/**
 * A caller's request that was admitted.
 *
 * @param facts what its headers say
 * @param route its route
 * @param service the service that runs it
 * @param account whom it is run for; empty where callers need no key
 * @param charge what it has taken of its account's quota
 * @param deadlineMillis when an answer is of no use any more
 * @param placing what decides where it runs
 */
record RoutedRequest(
    RequestFacts facts,
    Route route,
    String service,
    Optional<ClientAccount> account,
    Optional<QuotaCharge> charge,
    long deadlineMillis,
    PlacementRequest placing) {

  /** The urgency of the account goes before that of the route. */
  int rank() {
    return account.map(ClientAccount::rank).orElse(OptionalInt.empty()).orElse(route.rank());
  }

  Optional<AccountName> accountName() {
    return account.map(ClientAccount::name);
  }
}

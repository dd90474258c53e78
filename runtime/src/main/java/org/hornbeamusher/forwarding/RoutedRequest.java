package org.hornbeamusher.forwarding;

import java.util.Optional;
import org.hornbeamusher.accounts.AccountName;
import org.hornbeamusher.accounts.ClientAccount;
import org.hornbeamusher.placement.PlacementRequest;
import org.hornbeamusher.routes.Route;

/**
 * An admitted request.
 *
 * @param metadata the metadata in its headers
 * @param route its route
 * @param service the service that runs it
 * @param account its client account; empty if no key is required
 * @param charge what its account is charged
 * @param share what it counts against of the service's capacity
 * @param deadlineMillis time after which a response is useless
 * @param placementRequest the inputs of placement
 */
record RoutedRequest(
    RequestMetadata metadata,
    Route route,
    String service,
    Optional<ClientAccount> account,
    RequestCharge charge,
    RequestShare share,
    long deadlineMillis,
    PlacementRequest placementRequest) {

  /** Returns the priority with which it is served; 0 is the most urgent. */
  int rank() {
    return share.rank();
  }

  Optional<AccountName> accountName() {
    return account.map(ClientAccount::name);
  }
}

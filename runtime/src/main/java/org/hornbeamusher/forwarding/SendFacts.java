package org.hornbeamusher.forwarding;

import java.util.Optional;
import java.util.OptionalLong;
import org.hornbeamusher.accounts.AccountName;
import org.hornbeamusher.ids.EndpointId;

/**
 * What an endpoint is told with a request.
 *
 * @param endpoint the one that is meant; another one at its address refuses the request
 * @param remainingMillis how long an answer is of use
 * @param rank the request's urgency, 0 first
 * @param account the client account that it is run for; empty for an anonymous caller
 * @param lastEvent the last event the caller has; the endpoint goes on after it
 */
public record SendFacts(
    EndpointId endpoint,
    long remainingMillis,
    int rank,
    Optional<AccountName> account,
    OptionalLong lastEvent) {}

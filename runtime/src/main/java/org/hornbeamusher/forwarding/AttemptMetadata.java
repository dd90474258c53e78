package org.hornbeamusher.forwarding;

import java.util.Optional;
import java.util.OptionalLong;
import org.hornbeamusher.accounts.AccountName;
import org.hornbeamusher.ids.EndpointId;

/**
 * The metadata sent to an endpoint with a request.
 *
 * @param endpoint the expected endpoint; a different one at its address refuses the request
 * @param remainingMillis time until the deadline
 * @param rank the priority, 0 for the highest
 * @param account the client account; empty for an anonymous caller
 * @param lastEvent the last event that the caller received; the endpoint resumes after it
 */
public record AttemptMetadata(
    EndpointId endpoint,
    long remainingMillis,
    int rank,
    Optional<AccountName> account,
    OptionalLong lastEvent) {}

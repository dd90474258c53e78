package org.hornbeamusher.routing;

import java.util.Optional;
import java.util.Set;
import org.hornbeamusher.documents.ServiceDocument.CostWeights;
import org.hornbeamusher.ids.AdapterRef;
import org.hornbeamusher.ids.EndpointId;
import org.hornbeamusher.ids.PoolName;

/**
 * What routing needs to know of one attempt.
 *
 * @param pool the endpoints that may run it
 * @param adapter the adapter it runs on; empty for a plain service
 * @param prefixHash identifies the prompt's beginning, for the prefix cache; 0 when there is none
 * @param weights the service's weights
 * @param excluded endpoints that an earlier attempt failed on
 * @param remainingMillis time until its deadline
 */
public record RouteRequest(
    PoolName pool,
    Optional<AdapterRef> adapter,
    long prefixHash,
    CostWeights weights,
    Set<EndpointId> excluded,
    long remainingMillis) {}

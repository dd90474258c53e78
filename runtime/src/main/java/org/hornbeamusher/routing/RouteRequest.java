package org.hornbeamusher.routing;

import java.util.Optional;
import java.util.Set;
import org.hornbeamusher.documents.ServiceDocument.CostWeights;
import org.hornbeamusher.ids.AdapterRef;
import org.hornbeamusher.ids.EndpointId;
import org.hornbeamusher.ids.PoolName;

/**
 * The properties of an attempt that routing uses.
 *
 * @param pool the pool of endpoints that may run it
 * @param adapter the adapter it needs; empty for a plain service
 * @param prefixHash hash of the prompt's prefix, for the prefix cache; 0 when there is none
 * @param weights the service's weights
 * @param excluded endpoints that must not be chosen, for example because an earlier attempt failed
 *     there
 * @param remainingMillis time until the deadline
 */
public record RouteRequest(
    PoolName pool,
    Optional<AdapterRef> adapter,
    long prefixHash,
    CostWeights weights,
    Set<EndpointId> excluded,
    long remainingMillis) {}

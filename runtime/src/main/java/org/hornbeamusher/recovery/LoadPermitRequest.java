package org.hornbeamusher.recovery;

/**
 * An agent's request for load permits. It states totals, so that a lost or repeated request is
 * harmless.
 *
 * @param epoch counts the coordinators that the agent has chosen, from 1; permits belong to one
 *     epoch
 * @param demand what the agent wants to load
 * @param usedPermits the permits of this epoch that were used or have expired
 * @param loadMillis duration of the last load from the store; 0 if there was none since the last
 *     request
 * @param concurrencyLimit the limit that the agent last received from a coordinator; 0 if none
 */
public record LoadPermitRequest(
    long epoch, StoreLoadDemand demand, long usedPermits, long loadMillis, int concurrencyLimit) {}

package org.hornbeamusher.recovery;

/**
 * A coordinator's response to an agent.
 *
 * @param epoch the epoch of the agent's request
 * @param paced whether loads from the store need a permit
 * @param grantedPermits the permits granted in this epoch
 * @param waitMillis estimated time until a load that is wanted now begins
 * @param concurrencyLimit how many loads may be in progress over all engines
 */
public record LoadPermitResponse(
    long epoch, boolean paced, long grantedPermits, long waitMillis, int concurrencyLimit) {}

package org.hornbeamusher.holdings;

/**
 * The workload of an engine, as far as it matters for the placement of the next request.
 *
 * @param requests running or waiting
 * @param pendingPromptTokens prompt tokens of these requests that are not yet processed
 * @param spareSlots adapter slots that a load could take at once, minus the adapters waiting for a
 *     slot; negative when more adapters wait than slots are available
 * @param waitingAdapters adapters that cannot be loaded until a request ends
 */
public record EngineWorkload(
    int requests, long pendingPromptTokens, int spareSlots, int waitingAdapters) {}

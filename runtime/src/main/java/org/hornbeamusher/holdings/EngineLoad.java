package org.hornbeamusher.holdings;

/**
 * The workload of an engine, as far as it matters for the placement of the next request.
 *
 * @param requests running or waiting
 * @param unreadTokens prompt tokens of these requests that are not yet processed
 * @param sparePlaces adapter slots that a load could take at once, minus the adapters waiting for a
 *     slot; negative when more adapters wait than slots are available
 */
public record EngineLoad(int requests, long unreadTokens, int sparePlaces) {}

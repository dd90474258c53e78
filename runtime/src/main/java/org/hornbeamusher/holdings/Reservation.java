package org.hornbeamusher.holdings;

import org.hornbeamusher.directory.HeldAdapter;

/**
 * A request that is at the engine, or is to be sent there once its adapter is.
 *
 * @param id unique among all entries
 * @param adapter adapter and version
 * @param rank the request's urgency, 0 first
 * @param unreadTokens of its prompt
 * @param expiresMillis when a place is of no more use to it
 * @param aimMillis when its first event should come
 */
public record Reservation(
    ReservationId id,
    HeldAdapter adapter,
    int rank,
    long unreadTokens,
    long expiresMillis,
    long aimMillis) {}

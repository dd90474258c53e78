package org.hornbeamusher.holdings;

/**
 * Names a reservation.
 *
 * @param entry the connection of the entry that made it
 * @param number counts the entry's reservations
 */
public record ReservationId(long entry, long number) {}

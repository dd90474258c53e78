package org.hornbeamusher.holdings;

/**
 * Identifies a reservation.
 *
 * @param entry number of the connection of the entry that made it
 * @param number sequence number among the entry's reservations
 */
public record ReservationId(long entry, long number) {}

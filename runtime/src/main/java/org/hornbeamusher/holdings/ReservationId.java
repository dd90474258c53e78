package org.hornbeamusher.holdings;

/**
 * Identifies a reservation.
 *
 * @param entry number of the connection of the entry that made it
 * @param number sequence number among the entry's reservations
 */
public record ReservationId(long entry, long number) {

  // The generated methods call a chain of method handles, and each decision of an agent looks up
  // many keys.
  @Override
  public boolean equals(Object object) {
    return object instanceof ReservationId other && number == other.number && entry == other.entry;
  }

  @Override
  public int hashCode() {
    return 31 * Long.hashCode(entry) + Long.hashCode(number);
  }
}

package org.hornbeamusher.ids;

/**
 * One incarnation of an endpoint, from a start to the end of that run.
 *
 * <p>A crashed endpoint may restart under the same id and has then lost its state, such as its
 * loaded adapters. Everything known of an endpoint therefore applies to one incarnation and becomes
 * invalid with its end.
 *
 * <p>Incarnations have no order: the start is read from the clock of the endpoint's machine, which
 * may have been set back in between, so that a later incarnation can state an earlier start. Two
 * starts show only that two incarnations differ. Which one is newer follows from who reported them
 * and in which order.
 *
 * @param id the endpoint
 * @param startMillis when it started, in milliseconds since the epoch by its own machine's clock;
 *     {@link #UNKNOWN_START} when not stated
 */
public record EndpointIncarnation(EndpointId id, long startMillis) {

  /** The endpoint states no start; only its id can distinguish its incarnations. */
  public static final long UNKNOWN_START = 0;

  /**
   * Tells whether two descriptions may refer to the same incarnation.
   *
   * @param other another description
   * @return false when the ids differ, or when both state a start and the starts differ
   */
  public boolean maybeSameAs(EndpointIncarnation other) {
    return id.equals(other.id) && maybeSameStart(startMillis, other.startMillis);
  }

  /**
   * Tells whether two starts of one endpoint id may belong to the same incarnation.
   *
   * @param one a start, or {@link #UNKNOWN_START}
   * @param other a start, or {@link #UNKNOWN_START}
   * @return false when both are known and differ
   */
  public static boolean maybeSameStart(long one, long other) {
    return one == other || one == UNKNOWN_START || other == UNKNOWN_START;
  }

  // The generated methods call a chain of method handles, and each placement compares many keys.
  @Override
  public boolean equals(Object object) {
    return object instanceof EndpointIncarnation other
        && startMillis == other.startMillis
        && id.equals(other.id);
  }

  @Override
  public int hashCode() {
    return 31 * id.hashCode() + Long.hashCode(startMillis);
  }
}

package org.hornbeamusher.ids;

/**
 * One life of an endpoint, from its start to its end.
 *
 * <p>An endpoint that crashed may start again under the id that it had, and then holds nothing of
 * what it held. Whatever is believed of an endpoint is therefore believed of one life and ends with
 * it.
 *
 * <p>Lives have no order: the start is read from the clock of the endpoint's machine, which may
 * have been set back in between, so that a later life can name an earlier start. Two starts say
 * only that two lives differ. Which of them is the newer one follows from who spoke of them in
 * which order.
 *
 * @param id the endpoint
 * @param startMillis when it started, Unix milliseconds by its own machine's clock; {@link
 *     #UNKNOWN_START} when it did not say
 */
public record EndpointIncarnation(EndpointId id, long startMillis) {

  /** The endpoint names no start; its id alone tells its lives apart. */
  public static final long UNKNOWN_START = 0;

  /**
   * Tells whether two descriptions may be of one life.
   *
   * @param other another description
   * @return false when the ids differ, or when both name a start and the starts differ
   */
  public boolean maybeSameAs(EndpointIncarnation other) {
    return id.equals(other.id) && maybeSameStart(startMillis, other.startMillis);
  }

  /**
   * Tells whether two starts under one id may be of one life.
   *
   * @param one a start, or {@link #UNKNOWN_START}
   * @param other a start, or {@link #UNKNOWN_START}
   * @return false when both are known and differ
   */
  public static boolean maybeSameStart(long one, long other) {
    return one == other || one == UNKNOWN_START || other == UNKNOWN_START;
  }
}

package org.hornbeamusher.membership;

/**
 * Decides whether the other end of a connection is silent.
 *
 * <p>Now and then something between two processes loses track of a connection: nothing sent on it
 * arrives any more, neither end is told, and new connections work. TCP alone notices after many
 * minutes, and until then every request sent there waits for nothing. So both ends send a heartbeat
 * every interval, and a connection on which nothing came for {@code missedLimit} intervals is
 * abandoned.
 *
 * <p>A process that was itself paused has read nothing either. Were the pause taken for silence, it
 * would abandon all its connections at once on waking up, though their messages wait in its
 * sockets. {@link #checkTimedOut} is therefore called every interval, and when its own calls lie
 * too far apart, the other end is given one more interval.
 *
 * <p>Not safe for use by several threads at once.
 */
public final class HeartbeatMonitor {

  private final long intervalMillis;
  private final long silenceMillis;
  private long receivedMillis;
  private long checkedMillis;

  /**
   * Creates a monitor of a connection that was opened just now.
   *
   * @param intervalMillis time between two heartbeats of the other end
   * @param missedLimit after how many missing heartbeats it is silent; at least 2
   * @param now milliseconds
   */
  public HeartbeatMonitor(long intervalMillis, int missedLimit, long now) {
    this.intervalMillis = intervalMillis;
    this.silenceMillis = intervalMillis * missedLimit;
    this.receivedMillis = now;
    this.checkedMillis = now;
  }

  /**
   * Records that any message came.
   *
   * @param now milliseconds
   */
  public void received(long now) {
    receivedMillis = now;
  }

  /**
   * Decides whether the connection is to be abandoned; called every interval.
   *
   * @param now milliseconds
   * @return whether nothing came for as many intervals as the limit allows
   */
  public boolean checkTimedOut(long now) {
    boolean paused = now - checkedMillis >= silenceMillis;
    boolean steppedBack = now < receivedMillis;
    checkedMillis = now;
    if (paused || steppedBack) {
      receivedMillis =
          Math.max(now - silenceMillis + intervalMillis, Math.min(receivedMillis, now));
    }
    return now - receivedMillis >= silenceMillis;
  }

  /**
   * Returns for how long nothing came.
   *
   * @param now milliseconds
   * @return milliseconds
   */
  public long millisSinceReceived(long now) {
    return Math.max(0, now - receivedMillis);
  }
}

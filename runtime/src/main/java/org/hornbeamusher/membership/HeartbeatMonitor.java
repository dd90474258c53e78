package org.hornbeamusher.membership;

/**
 * Detects by heartbeats that the peer of a connection is unreachable.
 *
 * <p>Sometimes a network element between two processes drops the state of a connection: nothing
 * sent on it arrives any more, neither end is notified, and new connections work. TCP alone detects
 * this after many minutes, during which every request sent on the connection waits for a response
 * that never arrives. So both ends send a heartbeat in every interval, and a connection on which
 * nothing was received for {@code missedLimit} intervals is abandoned.
 *
 * <p>A process that was itself paused has received nothing either. If its pause counted as silence
 * of the peers, it would abandon all its connections when it resumes, although their messages are
 * waiting in its socket buffers. Therefore {@link #checkTimedOut} is called in every interval, and
 * when the time between two calls is too long, the peer gets one more interval.
 *
 * <p>Not thread-safe.
 */
public final class HeartbeatMonitor {

  private final long intervalMillis;
  private final long timeoutMillis;
  private long lastReceivedMillis;
  private long lastCheckedMillis;

  /**
   * Creates a monitor for a connection that has just been opened.
   *
   * @param intervalMillis time between two heartbeats of the peer
   * @param missedLimit number of missed heartbeats after which the peer is unreachable; at least 2
   * @param now current time in milliseconds
   */
  public HeartbeatMonitor(long intervalMillis, int missedLimit, long now) {
    this.intervalMillis = intervalMillis;
    this.timeoutMillis = intervalMillis * missedLimit;
    this.lastReceivedMillis = now;
    this.lastCheckedMillis = now;
  }

  /**
   * Records that a message was received, of any type.
   *
   * @param now current time in milliseconds
   */
  public void received(long now) {
    lastReceivedMillis = now;
  }

  /**
   * Decides whether the connection must be abandoned; to be called in every interval.
   *
   * @param now current time in milliseconds
   * @return whether nothing was received for {@code missedLimit} intervals
   */
  public boolean checkTimedOut(long now) {
    boolean paused = now - lastCheckedMillis >= timeoutMillis;
    boolean clockSetBack = now < lastReceivedMillis;
    lastCheckedMillis = now;
    if (paused || clockSetBack) {
      lastReceivedMillis =
          Math.max(now - timeoutMillis + intervalMillis, Math.min(lastReceivedMillis, now));
    }
    return now - lastReceivedMillis >= timeoutMillis;
  }

  /**
   * Returns the time since the last message was received.
   *
   * @param now current time in milliseconds
   * @return the time in milliseconds, never negative
   */
  public long millisSinceReceived(long now) {
    return Math.max(0, now - lastReceivedMillis);
  }
}

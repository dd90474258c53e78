package org.hornbeamusher.load;

import java.net.URI;
import java.util.List;

/**
 * One run of a workload.
 *
 * @param entries where requests go, in turn
 * @param token the caller's bearer token; empty sends none
 * @param requests how many requests are sent, resent ones not counted
 * @param requestsPerSecond rate at which they are due; 0 sends the next as soon as there is room
 * @param inFlight most requests without an answer; a request that is due waits for room
 * @param timeoutMillis when a request without an answer counts as lost
 * @param deadlineMillis the deadline a request names; 0 names none
 * @param onceShare part of the requests that must run at most once, 0 to 1
 * @param resendShare part of those that is sent a second time under the same key, 0 to 1
 * @param seed draws the workload
 * @param traffic what is asked for
 */
public record LoadSettings(
    List<URI> entries,
    String token,
    int requests,
    double requestsPerSecond,
    int inFlight,
    long timeoutMillis,
    long deadlineMillis,
    double onceShare,
    double resendShare,
    long seed,
    Traffic traffic) {

  private static final int IN_FLIGHT = 256;
  private static final long TIMEOUT_MILLIS = 60_000;

  /** Copies the list. */
  public LoadSettings {
    entries = List.copyOf(entries);
  }

  /**
   * Returns a run of repeatable requests.
   *
   * @param entries where requests go, in turn
   * @param token the caller's bearer token
   * @param requests how many
   * @param requestsPerSecond their rate
   * @param traffic what is asked for
   * @return settings with 256 requests in flight at most, each lost after a minute
   */
  public static LoadSettings of(
      List<URI> entries, String token, int requests, double requestsPerSecond, Traffic traffic) {
    return new LoadSettings(
        entries,
        token,
        requests,
        requestsPerSecond,
        IN_FLIGHT,
        TIMEOUT_MILLIS,
        0,
        0,
        0,
        1,
        traffic);
  }

  /**
   * Returns this run with a deadline.
   *
   * @param millis what every request names; 0 names none
   * @return a copy
   */
  public LoadSettings withDeadline(long millis) {
    return new LoadSettings(
        entries,
        token,
        requests,
        requestsPerSecond,
        inFlight,
        timeoutMillis,
        millis,
        onceShare,
        resendShare,
        seed,
        traffic);
  }

  /**
   * Returns this run with requests that must run at most once.
   *
   * @param share part of the requests
   * @param resent part of those that is sent a second time
   * @return a copy
   */
  public LoadSettings withOnce(double share, double resent) {
    return new LoadSettings(
        entries,
        token,
        requests,
        requestsPerSecond,
        inFlight,
        timeoutMillis,
        deadlineMillis,
        share,
        resent,
        seed,
        traffic);
  }

  /**
   * Returns this run with another bound.
   *
   * @param most requests without an answer
   * @return a copy
   */
  public LoadSettings withInFlight(int most) {
    return new LoadSettings(
        entries,
        token,
        requests,
        requestsPerSecond,
        most,
        timeoutMillis,
        deadlineMillis,
        onceShare,
        resendShare,
        seed,
        traffic);
  }
}

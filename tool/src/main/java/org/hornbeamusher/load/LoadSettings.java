package org.hornbeamusher.load;

import java.net.URI;
import java.util.List;

/**
 * Settings of one run of a workload.
 *
 * @param entries the entries to send to, in turn
 * @param token the caller's bearer token; empty for none
 * @param requests number of requests, not counting second sends
 * @param requestsPerSecond rate at which requests are due; 0 sends each as soon as the limit of
 *     requests in flight allows it
 * @param maxInFlight maximum number of requests in flight; beyond it, a request that is due waits
 * @param timeoutMillis time after which a request without a response counts as lost
 * @param deadlineMillis the deadline that requests state; 0 for none
 * @param nonRepeatableShare fraction of the requests that are non-repeatable (must run at most
 *     once), 0 to 1
 * @param resendShare fraction of those that are sent a second time under the same key, 0 to 1
 * @param seed seed of the random workload
 * @param traffic the kind of requests
 */
public record LoadSettings(
    List<URI> entries,
    String token,
    int requests,
    double requestsPerSecond,
    int maxInFlight,
    long timeoutMillis,
    long deadlineMillis,
    double nonRepeatableShare,
    double resendShare,
    long seed,
    Traffic traffic) {

  private static final int DEFAULT_MAX_IN_FLIGHT = 256;
  private static final long DEFAULT_TIMEOUT_MILLIS = 60_000;

  /** Copies the list. */
  public LoadSettings {
    entries = List.copyOf(entries);
  }

  /**
   * Returns a run of repeatable requests.
   *
   * @param entries the entries to send to, in turn
   * @param token the caller's bearer token; empty for none
   * @param requests number of requests
   * @param requestsPerSecond rate at which requests are due
   * @param traffic the kind of requests
   * @return settings with at most 256 requests in flight and a timeout of one minute
   */
  public static LoadSettings of(
      List<URI> entries, String token, int requests, double requestsPerSecond, Traffic traffic) {
    return new LoadSettings(
        entries,
        token,
        requests,
        requestsPerSecond,
        DEFAULT_MAX_IN_FLIGHT,
        DEFAULT_TIMEOUT_MILLIS,
        0,
        0,
        0,
        1,
        traffic);
  }

  /**
   * Returns these settings with a deadline.
   *
   * @param millis the deadline that requests state; 0 for none
   * @return a copy
   */
  public LoadSettings withDeadline(long millis) {
    return new LoadSettings(
        entries,
        token,
        requests,
        requestsPerSecond,
        maxInFlight,
        timeoutMillis,
        millis,
        nonRepeatableShare,
        resendShare,
        seed,
        traffic);
  }

  /**
   * Returns these settings with non-repeatable requests.
   *
   * @param share fraction of the requests that are non-repeatable
   * @param resent fraction of those that are sent a second time
   * @return a copy
   */
  public LoadSettings withNonRepeatable(double share, double resent) {
    return new LoadSettings(
        entries,
        token,
        requests,
        requestsPerSecond,
        maxInFlight,
        timeoutMillis,
        deadlineMillis,
        share,
        resent,
        seed,
        traffic);
  }

  /**
   * Returns these settings with another limit of requests in flight.
   *
   * @param maximum maximum number of requests in flight
   * @return a copy
   */
  public LoadSettings withMaxInFlight(int maximum) {
    return new LoadSettings(
        entries,
        token,
        requests,
        requestsPerSecond,
        maximum,
        timeoutMillis,
        deadlineMillis,
        nonRepeatableShare,
        resendShare,
        seed,
        traffic);
  }
}

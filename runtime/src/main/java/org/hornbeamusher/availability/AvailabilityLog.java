package org.hornbeamusher.availability;

import org.hornbeamusher.events.EventLog;
import org.hornbeamusher.events.EventType;

/** The lines that mark the beginning of what an endpoint states of whether it takes requests. */
public final class AvailabilityLog {

  private AvailabilityLog() {}

  /**
   * The endpoint wants no requests of this process for a while.
   *
   * @param endpoint its id; empty where it is not known
   * @param incarnation when it started, or another name of its incarnation
   * @param millis for how long
   */
  public static void backoff(Object endpoint, Object incarnation, long millis) {
    EventLog.log(
        EventType.ENDPOINT_BACKOFF,
        "endpoint",
        endpoint,
        "start_ms",
        incarnation,
        "for_ms",
        millis);
  }

  /**
   * The endpoint is leaving.
   *
   * @param endpoint its id
   * @param startMillis when it started
   */
  public static void leaving(Object endpoint, long startMillis) {
    EventLog.log(EventType.ENDPOINT_LEAVING, "endpoint", endpoint, "start_ms", startMillis);
  }
}

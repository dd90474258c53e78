package org.hornbeamusher.availability;

import org.hornbeamusher.events.EventLog;
import org.hornbeamusher.events.EventType;

/** Logs when an endpoint starts to back off or to leave. */
public final class AvailabilityLog {

  private AvailabilityLog() {}

  /**
   * Logs that the endpoint accepts no requests from this process for a while.
   *
   * @param endpoint its id; empty if unknown
   * @param incarnation its start time or another identifier of its incarnation
   * @param millis duration of the back-off
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
   * Logs that the endpoint is leaving.
   *
   * @param endpoint its id
   * @param startMillis its start time
   */
  public static void leaving(Object endpoint, long startMillis) {
    EventLog.log(EventType.ENDPOINT_LEAVING, "endpoint", endpoint, "start_ms", startMillis);
  }
}

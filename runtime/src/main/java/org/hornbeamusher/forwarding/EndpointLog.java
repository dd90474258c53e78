package org.hornbeamusher.forwarding;

import java.util.List;
import java.util.stream.Collectors;
import org.hornbeamusher.directory.Endpoint;
import org.hornbeamusher.directory.EndpointDirectory.Absence;
import org.hornbeamusher.directory.UnusableEntry;
import org.hornbeamusher.events.EventLog;
import org.hornbeamusher.events.EventType;
import org.hornbeamusher.ids.EndpointId;
import org.hornbeamusher.ids.EndpointLife;

/** The log lines about the endpoints that an entry knows. */
final class EndpointLog {

  /** Ids in one line; an outage of the store may concern every endpoint. */
  private static final int MOST_IDS = 8;

  private EndpointLog() {}

  /** An endpoint is new, has changed or is leaving. */
  static void changed(Endpoint endpoint) {
    EventLog.log(
        EventType.ENDPOINT_CHANGED,
        "endpoint",
        endpoint.id(),
        "start_ms",
        endpoint.life().startMillis(),
        "service",
        endpoint.service(),
        "at",
        endpoint.uri(),
        "zone",
        endpoint.zone(),
        "leaving",
        endpoint.leaving());
  }

  /** An endpoint is no more. */
  static void ended(EndpointLife life, String cause, long listAgeMillis) {
    EventLog.log(
        EventType.ENDPOINT_GONE,
        "endpoint",
        life.id(),
        "start_ms",
        life.startMillis(),
        "cause",
        cause,
        "list_age_ms",
        listAgeMillis);
  }

  /** A list lacks endpoints that are kept. */
  static void missing(Absence absence) {
    List<EndpointId> endpoints = absence.endpoints();
    if (endpoints.isEmpty()) {
      return;
    }
    String first =
        endpoints.stream().limit(MOST_IDS).map(EndpointId::value).collect(Collectors.joining(","));
    EventLog.log(
        EventType.ENDPOINTS_MISSING,
        "endpoints",
        endpoints.size(),
        "first",
        first,
        "gap_ms",
        absence.gapMillis(),
        "kept_ms",
        absence.keptMillis());
  }

  /** An entry of the list cannot be used. */
  static void unusable(UnusableEntry entry) {
    EventLog.log(
        EventType.ENDPOINT_UNUSABLE,
        "endpoint",
        entry.key(),
        "reason",
        entry.reason(),
        "row_version",
        entry.revision().isPresent() ? entry.revision().getAsLong() : "");
  }
}

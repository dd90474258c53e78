package org.hornbeamusher.forwarding;

import java.util.List;
import java.util.stream.Collectors;
import org.hornbeamusher.directory.Endpoint;
import org.hornbeamusher.directory.EndpointDirectory.MissingEndpoints;
import org.hornbeamusher.directory.UnusableEntry;
import org.hornbeamusher.events.EventLog;
import org.hornbeamusher.events.EventType;
import org.hornbeamusher.ids.EndpointId;
import org.hornbeamusher.ids.EndpointIncarnation;
import org.hornbeamusher.ids.SoftwareVersion;

/** Logs events of the endpoints that an entry knows. */
final class EndpointLog {

  /** Most ids in one line; an outage of the store may affect every endpoint. */
  private static final int MAX_IDS = 8;

  private EndpointLog() {}

  /** Logs that an endpoint is new, has changed or is leaving. */
  static void changed(Endpoint endpoint) {
    EventLog.log(
        EventType.ENDPOINT_CHANGED,
        "endpoint",
        endpoint.id(),
        "start_ms",
        endpoint.incarnation().startMillis(),
        "service",
        endpoint.service(),
        "at",
        endpoint.uri(),
        "zone",
        endpoint.zone(),
        "software",
        endpoint.software().map(SoftwareVersion::value).orElse("unknown"),
        "leaving",
        endpoint.leaving());
  }

  /** Logs that an incarnation of an endpoint has ended. */
  static void ended(EndpointIncarnation incarnation, String cause, long listAgeMillis) {
    EventLog.log(
        EventType.ENDPOINT_GONE,
        "endpoint",
        incarnation.id(),
        "start_ms",
        incarnation.startMillis(),
        "cause",
        cause,
        "list_age_ms",
        listAgeMillis);
  }

  /** Logs that endpoints are missing from a list but kept for now. */
  static void missing(MissingEndpoints absence) {
    List<EndpointId> endpoints = absence.endpoints();
    if (endpoints.isEmpty()) {
      return;
    }
    String first =
        endpoints.stream().limit(MAX_IDS).map(EndpointId::value).collect(Collectors.joining(","));
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

  /** Logs that an entry of the list cannot be used. */
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

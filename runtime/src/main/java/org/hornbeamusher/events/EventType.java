package org.hornbeamusher.events;

import java.util.logging.Level;

/**
 * The catalogue of log events: number, level and meaning.
 *
 * <p>Numbers are never reused. Ranges: 1000 processes, 1100 requests, 1200 endpoints and loads,
 * 1300 service documents, 1400 claims, 1500 connections and membership, 1600 the platform, 1700
 * settings and operators.
 */
public enum EventType {
  // 1000: processes
  PROCESS_STARTED(1001, Level.INFO, "A process has started and is listening."),
  PROCESS_STOPPING(1002, Level.INFO, "A process drains and takes no new requests."),
  PROCESS_STOPPED(1003, Level.INFO, "A process has finished draining and stops."),
  PROCESS_FAILED(1005, Level.SEVERE, "A thread ended with an error; the process ends with it."),
  TASK_FAILED(1004, Level.SEVERE, "A periodic task failed and will be retried."),
  // 1100: requests
  REQUEST_REFUSED(1101, Level.FINE, "A request was refused."),
  REQUEST_FAILED(1102, Level.WARNING, "A request failed after it was admitted."),
  REQUEST_PLACED(
      1103, Level.INFO, "A request was assigned to an endpoint, at once or after a load."),
  REQUEST_MOVED(1104, Level.INFO, "A request waiting for a load was moved to another endpoint."),
  ATTEMPT_ENDED(1105, Level.INFO, "An attempt to run a request on an endpoint ended."),
  REQUEST_ENDED(1106, Level.INFO, "A request got its final response or its caller disconnected."),
  REQUESTS_TURNED_AWAY(1107, Level.INFO, "Requests were refused unread while the process started."),
  ACCOUNT_REFUSED(1108, Level.INFO, "A request was refused due to its key or account quota."),
  RATE_PERMIT_DECIDED(
      1109, Level.INFO, "A request to a rate-limited endpoint was permitted or not."),
  RETRY_DECIDED(1110, Level.INFO, "A retry was granted or denied by the retry budget."),
  REQUEST_QUARANTINED(
      1111, Level.WARNING, "Requests of a content or with a part are refused after crashes."),
  QUARANTINE_LIFTED(1112, Level.INFO, "The crashes recorded for a content or a part are cleared."),
  QUARANTINED_REQUEST_REFUSED(
      1113, Level.INFO, "A request was refused because of its content or a part of its prompt."),
  STREAM_RESUMED(
      1114, Level.INFO, "A caller resumes a stream; gives the software version that began it."),
  EXPLAINED_SUSPECT_SENT(
      1115,
      Level.INFO,
      "A request with a quarantined part is sent: another suspect explains the crashes."),
  SHARE_EXCEEDED(
      1116, Level.INFO, "A request beyond its account's fair share was ranked down or refused."),
  CRASHES_CLEARED(
      1117, Level.INFO, "A response cleared the crashes recorded for a content or a part."),
  QUOTA_CHARGED(
      1118,
      Level.INFO,
      "A request of an account near its quota was admitted; at most one line a second for each."),
  QUOTA_REFUNDED(1119, Level.INFO, "The quota charge of a request that did not run was returned."),
  FURTHER_RUN_CHARGED(1124, Level.INFO, "An account was charged for a further run of a request."),
  FURTHER_RUN_DELAYED(
      1126, Level.INFO, "A further run of a request waits until its account's quota has units."),
  QUOTA_VIEW_CHANGED(
      1125,
      Level.INFO,
      "Whose usage the entry knows, or by which relays, has changed; 4 lines a second at most."),
  QUOTA_USAGE_DECREASED(
      1123,
      Level.INFO,
      "The known usage of an account at the other entries has decreased; once a second at most."),
  FORECAST_REFUSED(
      1120, Level.INFO, "A request was refused because of the forecast of its first event."),
  RETURN_PLANNED(1121, Level.INFO, "A refused caller was told when capacity is expected."),
  REQUEST_HELD(1122, Level.INFO, "A request waits at the entry for capacity."),
  // 1200: endpoints and loads
  ADAPTER_LOADED(1201, Level.FINE, "An adapter became resident."),
  ADAPTER_LOAD_FAILED(1202, Level.WARNING, "An adapter could not be loaded."),
  ENDPOINT_RESTARTED(1203, Level.WARNING, "An endpoint lost its resident adapters."),
  ENGINE_ORDERED(1205, Level.INFO, "The engine beside the agent responded to an order."),
  ENGINE_UNREACHABLE(1206, Level.WARNING, "The engine beside the agent does not respond."),
  ENGINE_SEEN(1207, Level.INFO, "The engine beside the agent responds; gives its incarnation."),
  FENCING_NUMBER_TAKEN(
      1208, Level.INFO, "The agent uses this fencing number for orders from now on."),
  AGENT_SUPERSEDED(1204, Level.SEVERE, "A newer agent controls the endpoint; this agent leaves."),
  // 1300: service documents
  DOCUMENT_IN_FORCE(1301, Level.INFO, "This process now uses a newer version of a document."),
  DOCUMENT_UNREADABLE(1302, Level.WARNING, "A stored document cannot be read by this release."),
  DOCUMENT_ACCEPTED(1303, Level.INFO, "A submitted document was accepted."),
  DOCUMENT_REFUSED(1304, Level.WARNING, "A submitted document was refused."),
  CONFIGURATION_IN_FORCE(1305, Level.INFO, "This process now uses a newer configuration."),
  CONFIGURATION_UNREADABLE(
      1306, Level.WARNING, "A configuration cannot be read; the old one stays."),
  VERSION_IN_FORCE(1307, Level.INFO, "This process now uses a newer version of an adapter."),
  ENDPOINT_CHANGED(1308, Level.INFO, "An endpoint is new, has changed or is leaving."),
  ENDPOINT_GONE(1309, Level.INFO, "An incarnation of an endpoint has ended."),
  ENDPOINT_UNUSABLE(1310, Level.WARNING, "A list entry cannot be used; the previous data stays."),
  KEYS_UNCONFIRMED(1311, Level.WARNING, "Account keys are not confirmed; callers are refused."),
  KEYS_CONFIRMED(1312, Level.INFO, "Account keys are confirmed again; callers are served."),
  ENDPOINT_LIMITED(1313, Level.INFO, "An endpoint advertised a limit of requests a second."),
  ENDPOINT_UNLIMITED(1314, Level.INFO, "An endpoint no longer limits its request rate."),
  ENDPOINT_BACKOFF(1315, Level.INFO, "An endpoint asked this process to pause its requests."),
  ENDPOINT_LEAVING(1316, Level.INFO, "A response of an endpoint says that it is leaving."),
  ENDPOINTS_MISSING(
      1317, Level.INFO, "Endpoints are missing from a list; they are kept for a while."),
  ENDPOINT_CRASHED(1318, Level.WARNING, "An endpoint ended while it ran requests of this entry."),
  UNSEEN_ENGINE_CHECKED(
      1326, Level.WARNING, "An entry has checked an engine that its agent cannot reach."),
  ENDPOINT_ALIVE(1319, Level.INFO, "An endpoint that lost connections has not ended."),
  CRASH_RECORD_UNREADABLE(1320, Level.WARNING, "A record of crashes cannot be read."),
  CONNECTION_LOSS_RELAYED(
      1323, Level.INFO, "An entry ended before it knew whether an endpoint had crashed."),
  CRASH_NOT_COUNTED(
      1324,
      Level.INFO,
      "An endpoint ended that is not known to have run after a request was sent there."),
  SOFTWARE_VERSIONS_UNWRITTEN(
      1322, Level.WARNING, "The software versions that serve could not be written yet."),
  STREAM_ORIGINS_UNWRITTEN(
      1325, Level.WARNING, "The versions that began streams could not be written yet."),
  CRASH_RECORDS_UNWRITTEN(1321, Level.WARNING, "Records of crashes could not be written yet."),
  // 1400: claims
  CLAIM_END_LOST(
      1401, Level.WARNING, "The outcome of a claim was not written; it reads as unknown."),
  // 1500: connections and membership
  PEER_CONNECTED(1501, Level.INFO, "A connection to a peer was opened."),
  PEER_LOST(1502, Level.WARNING, "A connection to a peer was lost or abandoned."),
  LOAD_COORDINATOR_CHANGED(
      1503, Level.INFO, "The agent gets its load permits from another entry, or from none."),
  LOAD_PACING_CHANGED(
      1504, Level.INFO, "Loads from the weight store begin or cease to need permits."),
  // 1600: the platform
  PLATFORM_OUTAGE(1601, Level.WARNING, "The platform does not respond."),
  PLATFORM_BACK(1602, Level.INFO, "The platform responds again."),
  TABLE_READ_FAILED(
      1603, Level.WARNING, "A read of a table failed; the data received is discarded."),
  TABLE_STALE(1604, Level.WARNING, "The local copy of a table is older than allowed."),
  TABLE_CURRENT(1605, Level.INFO, "The local copy of a table is recent enough again."),
  STORE_RESTORED(
      1606, Level.WARNING, "The store was restored from a copy; its tables are read again."),
  STORE_ERA_UNREADABLE(
      1607, Level.WARNING, "The era of the store is no number; it is taken for the known one."),
  // 1700: settings and operators
  DRAIN_ORDERED(1701, Level.INFO, "An operator ordered this process to drain."),
  OPERATOR_REFUSED(1702, Level.WARNING, "An operator's token does not allow the request."),
  TLS_KEYS_REPLACED(1703, Level.INFO, "New TLS keys or trusted certificates are in use."),
  SETTINGS_READ(1705, Level.INFO, "Settings were read at startup or reloaded."),
  SETTINGS_UNREADABLE(1706, Level.WARNING, "New settings cannot be used; the old ones stay."),
  TLS_KEYS_UNREADABLE(1704, Level.WARNING, "New TLS files cannot be used; the old ones stay.");

  private final int number;
  private final Level level;
  private final String meaning;

  EventType(int number, Level level, String meaning) {
    this.number = number;
    this.level = level;
    this.meaning = meaning;
  }

  /**
   * Returns the event's number.
   *
   * @return the number in the catalogue
   */
  public int number() {
    return number;
  }

  /**
   * Returns the level.
   *
   * @return the level the event is logged at
   */
  public Level level() {
    return level;
  }

  /**
   * Returns the event's meaning.
   *
   * @return one sentence for the catalogue
   */
  public String meaning() {
    return meaning;
  }
}

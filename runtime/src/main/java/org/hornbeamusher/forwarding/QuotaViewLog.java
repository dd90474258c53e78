package org.hornbeamusher.forwarding;

import org.hornbeamusher.events.EventLog;
import org.hornbeamusher.events.EventType;
import org.hornbeamusher.quota.QuotaView;
import org.hornbeamusher.quota.UsageCoverage;

/**
 * Logs when an entry begins or ceases to know the usage of the other entries. Confined to the event
 * loop.
 */
final class QuotaViewLog {

  /** Shortest time between two lines; changes in between are counted. */
  private static final long INTERVAL_MILLIS = 1_000;

  private UsageCoverage logged;
  private int loggedEntries;
  private UsageCoverage last;
  private long loggedMillis = Long.MIN_VALUE / 2;
  private long changes;

  /** Logs what is known, if that has changed. */
  void observed(QuotaView view, long now) {
    if (view.coverage() != last) {
      last = view.coverage();
      changes++;
    }
    boolean unchanged =
        changes == 0 && view.coverage() == logged && view.entries() == loggedEntries;
    if (unchanged || now - loggedMillis < INTERVAL_MILLIS) {
      return;
    }
    EventLog.log(
        EventType.QUOTA_VIEW_CHANGED,
        "coverage",
        view.coverage().label(),
        "before",
        logged == null ? "" : logged.label(),
        "changes",
        changes,
        "reachable",
        view.reachable(),
        "entries",
        view.entries(),
        "unknown",
        view.unknown(),
        "window_known",
        view.windowKnown(),
        "connected_relays",
        view.connectedRelays(),
        "reporting_relays",
        view.reportingRelays(),
        "current_relays",
        view.currentRelays(),
        "update_age_ms",
        view.updateAgeMillis());
    logged = view.coverage();
    loggedEntries = view.entries();
    loggedMillis = now;
    changes = 0;
  }
}

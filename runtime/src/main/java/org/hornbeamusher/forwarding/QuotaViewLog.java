package org.hornbeamusher.forwarding;

import java.util.List;
import org.hornbeamusher.events.EventLog;
import org.hornbeamusher.events.EventType;
import org.hornbeamusher.quota.QuotaView;
import org.hornbeamusher.quota.UsageCoverage;

/**
 * Logs when an entry begins or ceases to know the usage of the other entries, and when the relays
 * change that state it. Confined to the event loop.
 */
final class QuotaViewLog {

  private static final long INTERVAL_MILLIS = 1_000;

  /** Most lines in an interval; the rest of the changes is counted in the next one. */
  private static final int MAX_LINES = 4;

  private Basis logged = new Basis(null, 0, false, List.of());
  private Basis last = logged;
  private long intervalMillis = Long.MIN_VALUE / 2;
  private int lines;
  private long changes;

  /** Logs what is known, if that has changed. */
  void observed(QuotaView view, long now) {
    Basis basis =
        new Basis(view.coverage(), view.entries(), view.windowKnown(), view.currentRelays());
    if (!basis.equals(last)) {
      last = basis;
      changes++;
    }
    if (now - intervalMillis >= INTERVAL_MILLIS) {
      intervalMillis = now;
      lines = 0;
    }
    if ((changes == 0 && basis.equals(logged)) || lines >= MAX_LINES) {
      return;
    }
    EventLog.log(
        EventType.QUOTA_VIEW_CHANGED,
        "coverage",
        view.coverage().label(),
        "before",
        logged.coverage == null ? "" : logged.coverage.label(),
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
        "known_ms",
        view.knownMillis(),
        "connected_relays",
        view.connectedRelays(),
        "reporting_relays",
        view.reportingRelays(),
        "current_relays",
        view.currentRelays().size(),
        "relays",
        String.join(",", view.currentRelays()),
        "update_age_ms",
        view.updateAgeMillis());
    logged = basis;
    lines++;
    changes = 0;
  }

  /** What decisions on quotas go by. */
  private record Basis(
      UsageCoverage coverage, int entries, boolean windowKnown, List<String> relays) {}
}

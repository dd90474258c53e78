package org.hornbeamusher.sidecar;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashSet;
import java.util.Optional;
import java.util.Set;
import org.hornbeamusher.clock.Clock;
import org.hornbeamusher.events.EventLog;
import org.hornbeamusher.events.EventType;
import org.hornbeamusher.quarantine.CrashHistory;
import org.hornbeamusher.quarantine.CrashRecord;
import org.hornbeamusher.quarantine.QuarantineSettings;
import org.hornbeamusher.suspects.CrashRecordCodec;
import org.hornbeamusher.wire.Message;
import org.hornbeamusher.wire.WireConnection;

/**
 * Relays crash records between the entries, and reports them to an entry that connects. Keeps the
 * lost connections that entries report, and passes those of an entry that ends on to the others,
 * because it may not have found out whether the endpoints crashed. Confined to the event loop.
 */
final class CrashRelay {

  private final CrashHistory history = new CrashHistory(QuarantineSettings.WITHOUT_ISOLATION);

  /** After this time an entry knows whether an endpoint has crashed or gives up. */
  private static final long LOSS_RETENTION_MILLIS = 10_000;

  private static final int MAX_LOSSES = 1_000;

  private final Set<WireConnection> entries = new HashSet<>();

  /** The recent losses of connected entries and of those that have ended, the oldest first. */
  private final Deque<ReportedLoss> losses = new ArrayDeque<>();

  private final Clock clock;

  CrashRelay(Clock clock) {
    this.clock = clock;
  }

  void entryConnected(WireConnection entry) {
    entries.add(entry);
    history.removeExpired(clock.millis());
    history.openRecords().forEach(record -> entry.send(message(record)));
    removeOldLosses();
    losses.stream()
        .filter(loss -> !entries.contains(loss.reporter()))
        .forEach(loss -> entry.send(loss.message()));
  }

  void entryDisconnected(WireConnection entry) {
    entries.remove(entry);
    removeOldLosses();
    losses.stream()
        .filter(loss -> loss.reporter() == entry)
        .forEach(loss -> entries.forEach(other -> other.send(loss.message())));
  }

  private void removeOldLosses() {
    long oldest = clock.millis() - LOSS_RETENTION_MILLIS;
    while (!losses.isEmpty()
        && (losses.peek().atMillis() < oldest || losses.size() >= MAX_LOSSES)) {
      losses.remove();
    }
  }

  void received(WireConnection entry, Message.CrashReport report) {
    Optional<CrashRecord> record = CrashRecordCodec.decode(report.record());
    if (record.isEmpty()) {
      EventLog.log(EventType.CRASH_RECORD_UNREADABLE, "source", entry.peer().instance());
      return;
    }
    long now = clock.millis();
    Optional<CrashRecord> merged = history.merge(record.get(), now);
    history.removeExpired(now);
    history.correction(record.get()).ifPresent(own -> entry.send(message(own)));
    merged.ifPresent(
        changed ->
            entries.stream()
                .filter(other -> other != entry)
                .forEach(other -> other.send(message(changed))));
  }

  void received(WireConnection entry, Message.ConnectionLoss loss) {
    removeOldLosses();
    losses.add(new ReportedLoss(entry, loss, clock.millis()));
  }

  private record ReportedLoss(
      WireConnection reporter, Message.ConnectionLoss message, long atMillis) {}

  private static Message.CrashReport message(CrashRecord record) {
    return new Message.CrashReport(CrashRecordCodec.encode(record));
  }
}

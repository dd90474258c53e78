package org.hornbeamusher.forwarding;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;
import org.hornbeamusher.clock.Clock;
import org.hornbeamusher.events.EventLog;
import org.hornbeamusher.events.EventType;
import org.hornbeamusher.failure.HornbeamusherException;
import org.hornbeamusher.ids.EndpointId;
import org.hornbeamusher.ids.EndpointIncarnation;
import org.hornbeamusher.loop.EventLoop;
import org.hornbeamusher.quarantine.CrashHistory;
import org.hornbeamusher.quarantine.CrashRecord;
import org.hornbeamusher.quarantine.CrashSuspect;
import org.hornbeamusher.suspects.CrashRecordCodec;
import org.hornbeamusher.suspects.CrashRecordTable;
import org.hornbeamusher.table.CommitResult;
import org.hornbeamusher.watch.TableChanges;
import org.hornbeamusher.wire.Message;

/**
 * Shares crash records with all other entries, in two ways that do not depend on each other.
 *
 * <ul>
 *   <li>Two agents relay each change within milliseconds and report all records to an entry that
 *       connects. They work while the table is not available.
 *   <li>A table contains the records, which every entry follows. It works without agents, and keeps
 *       the records when all processes restart.
 * </ul>
 *
 * <p>Records are merged, so it does not matter in which order and how often they arrive. A change
 * is written to the table by the entry that made it, and a little later by every other entry that
 * does not find it there: the first may have been killed, and a table that was restored from a copy
 * has lost it. Most records are cleared within a second or two, when the requests that ran beside
 * the cause are completed elsewhere; the delay of the first write saves most of their writes. There
 * is no delay while fewer than two agents relay changes or this entry is about to end, because its
 * knowledge could end with it.
 */
final class CrashReports implements AgentConnections.CrashListener {

  private static final long OWN_WRITE_DELAY_MILLIS = 500;
  private static final long OTHERS_WRITE_DELAY_MILLIS = 3_000;
  private static final long RETRY_MILLIS = 1_000;
  private static final long EXPIRY_CHECK_MILLIS = 10 * 60_000;

  /** A transaction may contain 100 conditions and writes. */
  private static final int MAX_ROWS = 40;

  private final CrashHistory history;
  private final CrashRecordTable table;
  private final UsageExchange.Transport transport;
  private final EventLoop loop;
  private final Clock clock;
  private final RelaySelection selection = new RelaySelection();

  /** The relays that have received all records. */
  private final Set<InetSocketAddress> informed = new HashSet<>();

  /** The suspects whose rows may differ from their records, and when to write them. */
  private final Map<CrashSuspect, Long> unwritten = new LinkedHashMap<>();

  private Consumer<LostRequest> lossListener = lost -> {};

  /** Whether this entry is about to end. */
  private boolean ending;

  private boolean writing;
  private int failedWrites;

  /** When {@link #write} runs next; {@link Long#MAX_VALUE} if it is not scheduled. */
  private long nextWriteMillis = Long.MAX_VALUE;

  CrashReports(
      CrashHistory history,
      CrashRecordTable table,
      UsageExchange.Transport transport,
      EventLoop loop,
      Clock clock) {
    this.history = history;
    this.table = table;
    this.transport = transport;
    this.loop = loop;
    this.clock = clock;
    loop.after(EXPIRY_CHECK_MILLIS, this::removeExpired);
  }

  private void removeExpired() {
    scheduleWrite(clock.millis());
    loop.after(EXPIRY_CHECK_MILLIS, this::removeExpired);
  }

  /**
   * Reports that a request lost its connection to an endpoint. If this entry ends before it knows
   * whether the endpoint has crashed, the relays pass the loss on to the other entries.
   *
   * @param lost the request, with times by the service clock
   */
  void connectionLost(LostRequest lost) {
    Message.ConnectionLoss loss =
        new Message.ConnectionLoss(
            lost.endpoint().id().value(),
            lost.endpoint().startMillis(),
            lost.suspects().stream().map(Object::toString).toList(),
            Math.max(1, lost.sentMillis()),
            Math.max(1, lost.runningMillis()),
            Math.max(1, lost.lostMillis()));
    selection.relays().forEach(relay -> transport.send(relay, loss));
  }

  /** Sets who receives the losses that other entries reported before they ended. */
  void setLossListener(Consumer<LostRequest> listener) {
    lossListener = listener;
  }

  /** Reports a record that this entry has changed. */
  void changed(CrashRecord record) {
    selection.relays().forEach(relay -> send(relay, record));
    boolean urgent =
        ending || !selection.isComplete() || history.isQuarantined(record.suspect(), 0);
    writeLater(record.suspect(), urgent ? 0 : OWN_WRITE_DELAY_MILLIS);
  }

  /** Called when this entry is about to end; what it knows is written without delay from now on. */
  void entryEnds() {
    ending = true;
    long now = clock.millis();
    unwritten.replaceAll((suspect, at) -> now);
    scheduleWrite(now);
  }

  /** Returns whether the table may lack something that this entry knows. */
  boolean hasUnwritten() {
    return unwritten.keySet().stream().anyMatch(suspect -> !upToDate(suspect));
  }

  @Override
  public void opened(InetSocketAddress agent) {
    selection.opened(agent);
    informRelays();
  }

  @Override
  public void closed(InetSocketAddress agent) {
    selection.closed(agent);
    informed.remove(agent);
    informRelays();
  }

  private void informRelays() {
    for (InetSocketAddress relay : selection.relays()) {
      if (informed.add(relay)) {
        history.openRecords().forEach(record -> send(relay, record));
      }
    }
  }

  private void send(InetSocketAddress relay, CrashRecord record) {
    transport.send(relay, new Message.CrashReport(CrashRecordCodec.encode(record)));
  }

  @Override
  public void received(InetSocketAddress agent, Message.CrashReport report) {
    Optional<CrashRecord> record = CrashRecordCodec.decode(report.record());
    if (record.isEmpty()) {
      EventLog.log(EventType.CRASH_RECORD_UNREADABLE, "source", agent);
      return;
    }
    CrashSuspect suspect = record.get().suspect();
    if (merge(record.get(), "agent")) {
      writeLater(suspect, OTHERS_WRITE_DELAY_MILLIS);
    }
    history.correction(record.get()).ifPresent(own -> send(agent, own));
  }

  @Override
  public void received(Message.ConnectionLoss loss) {
    try {
      lossListener.accept(lostRequest(loss));
    } catch (IllegalArgumentException e) {
      EventLog.log(EventType.CRASH_RECORD_UNREADABLE, "source", "agent", "reason", e.getMessage());
    }
  }

  /** An earlier release states no times, so nothing shows that the endpoint ran. */
  private static LostRequest lostRequest(Message.ConnectionLoss loss) {
    if (loss.sentMillis() < 0 || loss.runningMillis() < 0 || loss.lostMillis() < 0) {
      throw new IllegalArgumentException("negative time");
    }
    Set<CrashSuspect> suspects = new HashSet<>();
    loss.suspects().forEach(text -> CrashSuspect.parse(text).ifPresent(suspects::add));
    return new LostRequest(
        new EndpointIncarnation(new EndpointId(loss.endpoint()), loss.startMillis()),
        suspects,
        loss.sentMillis(),
        loss.lostMillis() > 0 ? loss.runningMillis() : EndpointLiveness.NEVER,
        loss.lostMillis(),
        true);
  }

  /** Applies rows of the table that were read. */
  void tableRead(TableChanges rows) {
    CrashRecordTable.Changes changes = table.received(rows);
    changes.unreadable().forEach(CrashReports::logUnreadable);
    for (CrashRecord record : changes.records()) {
      merge(record, "table");
      // Lifts the quarantine of a part that was answered here before the row is written again.
      history
          .correction(record)
          .ifPresent(own -> selection.relays().forEach(relay -> send(relay, own)));
      writeLater(record.suspect(), OTHERS_WRITE_DELAY_MILLIS);
    }
    changes.deleted().forEach(this::deleted);
    if (rows.complete()) {
      history
          .openRecords()
          .forEach(record -> writeLater(record.suspect(), OTHERS_WRITE_DELAY_MILLIS));
    }
  }

  private static void logUnreadable(String key) {
    EventLog.log(EventType.CRASH_RECORD_UNREADABLE, "source", "table", "key", key);
  }

  /** A row is deleted when its crashes are cleared, or by an operator to lift a quarantine. */
  private void deleted(CrashSuspect suspect) {
    boolean quarantined = history.isQuarantined(suspect, 0);
    history
        .clear(suspect, clock.millis())
        .ifPresent(
            cleared -> {
              logChange(cleared, quarantined, "table");
              selection.relays().forEach(relay -> send(relay, cleared));
            });
  }

  private boolean merge(CrashRecord record, String source) {
    boolean before = history.isQuarantined(record.suspect(), 0);
    Optional<CrashRecord> merged = history.merge(record, clock.millis());
    merged.ifPresent(changed -> logChange(changed, before, source));
    return merged.isPresent();
  }

  /** Logs that a suspect is quarantined now, or is not any more. */
  void logChange(CrashRecord record, boolean quarantinedBefore, String source) {
    boolean quarantined = history.isQuarantined(record.suspect(), 0);
    if (quarantined != quarantinedBefore) {
      EventLog.log(
          quarantined ? EventType.REQUEST_QUARANTINED : EventType.QUARANTINE_LIFTED,
          "content",
          record.suspect(),
          "crashes",
          record.openCrashes(),
          "independent",
          record.independentCrashes(),
          "endpoints",
          String.join(
              ",", record.crashes().stream().map(crash -> crash.endpoint().id().value()).toList()),
          "source",
          source);
    }
  }

  private void writeLater(CrashSuspect suspect, long delayMillis) {
    if (upToDate(suspect)) {
      unwritten.remove(suspect);
      return;
    }
    long at = clock.millis() + delayMillis;
    unwritten.merge(suspect, at, Math::min);
    scheduleWrite(at);
  }

  private void scheduleWrite(long atMillis) {
    if (atMillis < nextWriteMillis) {
      nextWriteMillis = atMillis;
      loop.after(Math.max(0, atMillis - clock.millis()), this::write);
    }
  }

  /** Returns whether the row of a suspect is what the known crashes make of it. */
  private boolean upToDate(CrashSuspect suspect) {
    Optional<CrashRecord> wanted = history.find(suspect).filter(r -> r.openCrashes() > 0);
    return table.stored(suspect).equals(wanted);
  }

  private void write() {
    nextWriteMillis = Long.MAX_VALUE;
    if (writing) {
      // The end of the write in progress schedules the next one.
      return;
    }
    long now = clock.millis();
    history.removeExpired(now).forEach(suspect -> unwritten.putIfAbsent(suspect, now));
    unwritten.keySet().removeIf(this::upToDate);
    List<CrashSuspect> due =
        unwritten.entrySet().stream()
            .filter(entry -> entry.getValue() <= now)
            .map(Map.Entry::getKey)
            .limit(MAX_ROWS)
            .toList();
    if (due.isEmpty()) {
      unwritten.values().stream().min(Long::compare).ifPresent(this::scheduleWrite);
      return;
    }
    writing = true;
    List<CrashRecord> records = new ArrayList<>();
    List<CrashSuspect> deletions = new ArrayList<>();
    for (CrashSuspect suspect : due) {
      history
          .find(suspect)
          .filter(record -> record.openCrashes() > 0)
          .ifPresentOrElse(records::add, () -> deletions.add(suspect));
    }
    table
        .replace(records, deletions)
        .whenComplete((result, thrown) -> loop.execute(() -> written(due, result, thrown)));
  }

  /**
   * Handles the result of a write. The rows are read again in any case, which shows whether they
   * are up to date; until then a repeated write is in vain.
   */
  private void written(List<CrashSuspect> due, CommitResult result, Throwable thrown) {
    writing = false;
    boolean committed = result instanceof CommitResult.Committed;
    failedWrites = committed ? 0 : failedWrites + 1;
    // Logs only at powers of two, so that a long outage does not flood the log.
    if (!committed && Integer.bitCount(failedWrites) == 1) {
      EventLog.log(
          EventType.CRASH_RECORDS_UNWRITTEN,
          "records",
          unwritten.size(),
          "failures",
          failedWrites,
          "reason",
          thrown == null ? "conflict" : HornbeamusherException.from(thrown).type().label());
    }
    long retryAt = clock.millis() + RETRY_MILLIS;
    due.forEach(suspect -> unwritten.computeIfPresent(suspect, (key, at) -> retryAt));
    unwritten.values().stream().min(Long::compare).ifPresent(this::scheduleWrite);
  }
}

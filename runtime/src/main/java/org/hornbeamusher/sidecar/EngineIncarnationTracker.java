package org.hornbeamusher.sidecar;

import java.util.Optional;
import org.hornbeamusher.holdings.EngineReport;
import org.hornbeamusher.ids.EndpointId;
import org.hornbeamusher.ids.EndpointIncarnation;

/**
 * Determines which incarnation of the engine a report comes from.
 *
 * <p>A report contains the start time of the incarnation but not the engine's id, and a later
 * incarnation may have the same id or another. The id is requested once per incarnation. It is
 * assigned to a start time only when the reports before and after the request agree on that time,
 * because the engine may have restarted in between. An unreachable engine that returns with the
 * same start time is still the same incarnation, and its id is not requested again.
 *
 * <p>Any other start time is a later incarnation, whatever its value: reports are requested one at
 * a time from an engine on the same instance, so none overtakes another, and only a clock that was
 * set back makes a later start look earlier. A decreased count of orders indicates a restart too,
 * also when no start time is stated.
 *
 * <p>Example: start times 100, 100, no answer, 70. The id is requested after the first report and
 * confirmed by the second; 70 is another incarnation, whose id is requested again.
 */
final class EngineIncarnationTracker {

  /** The relation of a report to the known incarnation. */
  enum Verdict {
    /** The report comes from the known incarnation. */
    SAME,
    /** The report is the first since the id of its incarnation became known. */
    NAMED,
    /** The report comes from an incarnation whose id has to be requested. */
    UNNAMED,
    /** The start time differs from the known incarnation's; the id has to be requested. */
    RESTARTED,
    /**
     * The count of orders has decreased under the same or no start time; the id has to be
     * requested.
     */
    COUNT_RESET;

    /** Tells whether the report comes from an incarnation whose id is known. */
    boolean known() {
      return this == SAME || this == NAMED;
    }

    /** Tells whether the known incarnation has ended. */
    boolean ended() {
      return this == RESTARTED || this == COUNT_RESET;
    }
  }

  private Optional<EndpointIncarnation> incarnation = Optional.empty();
  private Optional<EndpointId> engineId = Optional.empty();
  private boolean unreachable = true;
  private boolean reportSeen;
  private long startMillis = EndpointIncarnation.UNKNOWN_START;
  private long sequence;

  /** Compares a report with the known incarnation and records it. */
  Verdict recordReport(EngineReport report) {
    boolean restarted =
        reportSeen && !EndpointIncarnation.maybeSameStart(report.startMillis(), startMillis);
    boolean reset = reportSeen && report.orderSequence() < sequence;
    storeReport(report);
    if (restarted || reset) {
      return startNewIncarnation(restarted ? Verdict.RESTARTED : Verdict.COUNT_RESET);
    }
    if (incarnation.isPresent()) {
      incarnation = incarnation.map(one -> new EndpointIncarnation(one.id(), startMillis));
      return Verdict.SAME;
    }
    incarnation = engineId.map(id -> new EndpointIncarnation(id, startMillis));
    return incarnation.isPresent() ? Verdict.NAMED : Verdict.UNNAMED;
  }

  private void storeReport(EngineReport report) {
    reportSeen = true;
    unreachable = false;
    if (report.startMillis() != EndpointIncarnation.UNKNOWN_START) {
      startMillis = report.startMillis();
    }
    sequence = report.orderSequence();
  }

  private Verdict startNewIncarnation(Verdict end) {
    boolean known = incarnation.isPresent();
    incarnation = Optional.empty();
    engineId = Optional.empty();
    return known ? end : Verdict.UNNAMED;
  }

  /** Records the id that the engine returned; the next report confirms it. */
  void idReceived(EndpointId id) {
    engineId = Optional.of(id);
  }

  /**
   * Records that the engine is unreachable: its connection was refused, or several consecutive
   * calls for its report or its id failed. Without a stated start time, an engine that returns
   * cannot be recognised as the same incarnation, and its id is requested again.
   */
  void markUnreachable() {
    unreachable = true;
    if (startMillis == EndpointIncarnation.UNKNOWN_START) {
      reset();
    }
  }

  /** Handles the engine's statement that it has another id than the known one. */
  void idRefuted() {
    reset();
  }

  private void reset() {
    incarnation = Optional.empty();
    engineId = Optional.empty();
    reportSeen = false;
    unreachable = true;
  }

  /** Tells whether the engine's id has to be requested. */
  boolean needsId() {
    return reportSeen && !unreachable && incarnation.isEmpty() && engineId.isEmpty();
  }

  /** Returns the current incarnation; empty while the engine is unreachable or its id unknown. */
  Optional<EndpointIncarnation> current() {
    return unreachable ? Optional.empty() : incarnation;
  }
}

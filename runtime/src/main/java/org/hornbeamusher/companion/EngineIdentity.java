package org.hornbeamusher.companion;

import java.util.Optional;
import org.hornbeamusher.holdings.EngineReport;
import org.hornbeamusher.ids.EndpointId;
import org.hornbeamusher.ids.EndpointLife;

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
final class EngineIdentity {

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

  private Optional<EndpointLife> life = Optional.empty();
  private Optional<EndpointId> named = Optional.empty();
  private boolean silent = true;
  private boolean seen;
  private long startMillis = EndpointLife.UNKNOWN_START;
  private long sequence;

  /** Compares a report with the known incarnation and records it. */
  Verdict reported(EngineReport report) {
    boolean restarted = seen && !EndpointLife.sameStart(report.startMillis(), startMillis);
    boolean reset = seen && report.sequence() < sequence;
    remember(report);
    if (restarted || reset) {
      return next(restarted ? Verdict.RESTARTED : Verdict.COUNT_RESET);
    }
    if (life.isPresent()) {
      life = life.map(one -> new EndpointLife(one.id(), startMillis));
      return Verdict.SAME;
    }
    life = named.map(id -> new EndpointLife(id, startMillis));
    return life.isPresent() ? Verdict.NAMED : Verdict.UNNAMED;
  }

  private void remember(EngineReport report) {
    seen = true;
    silent = false;
    if (report.startMillis() != EndpointLife.UNKNOWN_START) {
      startMillis = report.startMillis();
    }
    sequence = report.sequence();
  }

  private Verdict next(Verdict end) {
    boolean known = life.isPresent();
    life = Optional.empty();
    named = Optional.empty();
    return known ? end : Verdict.UNNAMED;
  }

  /** Records the id that the engine returned; the next report confirms it. */
  void named(EndpointId id) {
    named = Optional.of(id);
  }

  /** Handles an engine that does not answer. */
  void lost() {
    silent = true;
    if (startMillis == EndpointLife.UNKNOWN_START) {
      forget();
    }
  }

  /** Handles the engine's statement that it has another id than the known one. */
  void refuted() {
    forget();
  }

  private void forget() {
    life = Optional.empty();
    named = Optional.empty();
    seen = false;
    silent = true;
  }

  /** Tells whether the engine's id has to be requested. */
  boolean needsName() {
    return seen && !silent && life.isEmpty() && named.isEmpty();
  }

  /** Returns the incarnation of the last report; empty while it is unreachable or without id. */
  Optional<EndpointLife> current() {
    return silent ? Optional.empty() : life;
  }
}

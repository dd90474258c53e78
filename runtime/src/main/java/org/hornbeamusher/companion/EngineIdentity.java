package org.hornbeamusher.companion;

import java.util.Optional;
import org.hornbeamusher.holdings.EngineReport;
import org.hornbeamusher.ids.EndpointId;
import org.hornbeamusher.ids.EndpointLife;

/**
 * Decides which life of the engine a report is of.
 *
 * <p>A report names the start of the engine's life but not its id, and a later life may have the id
 * of the former one or another. The id is asked for once a life; it belongs to the start that the
 * reports before and after the asking agree on, because the engine may have started again in
 * between. An engine that was silent and comes back with the start that it had is still in that
 * life and is not asked.
 *
 * <p>Any other start is a later life, whatever its value: reports are asked for one at a time and
 * of an engine on the same instance, so none overtakes another, and only the clock of the engine
 * could make a later start look earlier. A count of orders that has gone back shows a restart too,
 * also where no start is named.
 *
 * <p>Example: starts 100, 100, silence, 70. The id is asked for after the first report and the
 * second confirms it; 70 is another life, whose id is asked for again.
 */
final class EngineIdentity {

  /** What a report says of the life it is of. */
  enum Verdict {
    /** It is of the life that is known. */
    SAME,
    /** It is the first of a life whose id is known by now. */
    NAMED,
    /** It is of a life whose id has to be asked for. */
    UNNAMED,
    /** It names another start than that of the life that was known; its id has to be asked for. */
    RESTARTED,
    /** Its count of orders has gone back under the same start, or under none; likewise. */
    COUNT_RESET;

    /** Tells whether the report is of a life whose id is known. */
    boolean known() {
      return this == SAME || this == NAMED;
    }

    /** Tells whether the life that was known has ended. */
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

  /** Takes a report. */
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

  /** Takes the id that the engine gave when it was asked; the next report confirms it. */
  void named(EndpointId id) {
    named = Optional.of(id);
  }

  /** The engine does not answer, or says that it is not the one that was meant. */
  void lost() {
    silent = true;
    if (startMillis == EndpointLife.UNKNOWN_START) {
      forget();
    }
  }

  /** The engine says that it has another id than the one known. */
  void refuted() {
    forget();
  }

  private void forget() {
    life = Optional.empty();
    named = Optional.empty();
    seen = false;
    silent = true;
  }

  /** Tells whether the engine has to be asked for its id. */
  boolean needsName() {
    return seen && !silent && life.isEmpty() && named.isEmpty();
  }

  /** Returns the life that the last report was of; empty while the engine is silent or unnamed. */
  Optional<EndpointLife> current() {
    return silent ? Optional.empty() : life;
  }
}

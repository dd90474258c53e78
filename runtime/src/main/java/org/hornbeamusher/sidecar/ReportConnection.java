package org.hornbeamusher.sidecar;

import java.util.Optional;
import org.hornbeamusher.holdings.EngineReport;

/**
 * Decides whether the next report may be requested over the connection of the last one.
 *
 * <p>An engine may send a report once more, where a later one is due, and a report does not say
 * which request it answers. The copy of a report that differs from the current one would show a
 * restart, or a state from before an order. Therefore a connection is reused only while every
 * report on it was the same and no order has been sent since: then a copy says what the last report
 * said. A report that differs from the last one of its connection is no copy, and the next one is
 * requested over a new connection.
 */
final class ReportConnection {

  private Optional<EngineReport> carried = Optional.empty();
  private boolean reusable;

  boolean mayReuse() {
    return reusable;
  }

  /** Records the response to the report that was requested last. */
  void received(EngineReport report) {
    boolean same = carried.filter(report::equals).isPresent();
    reusable = !reusable || same;
    carried = Optional.of(report);
  }

  /** Called when an order was sent or a call failed. */
  void discard() {
    reusable = false;
  }
}

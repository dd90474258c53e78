package org.hornbeamusher.companion;

import java.util.concurrent.CompletableFuture;
import org.hornbeamusher.holdings.EngineOrder;
import org.hornbeamusher.holdings.EngineReport;
import org.hornbeamusher.holdings.OrderAnswer;
import org.hornbeamusher.ids.FencingNumber;

/** The calls an agent makes to the engine beside it. */
public interface EngineCalls {

  /**
   * Asks the engine what it holds.
   *
   * @return its report; fails while nothing answers
   */
  CompletableFuture<EngineReport> report();

  /**
   * Orders something.
   *
   * @param order the order
   * @param against the report it was decided on; another life of the engine, or one that has taken
   *     orders since, refuses it
   * @param fencing the number of this agent
   * @return what the engine said; {@code UNKNOWN} when nothing was heard
   */
  CompletableFuture<OrderAnswer> order(
      EngineOrder order, EngineReport against, FencingNumber fencing);
}

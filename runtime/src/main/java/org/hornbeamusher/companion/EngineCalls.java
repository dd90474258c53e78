package org.hornbeamusher.companion;

import java.util.concurrent.CompletableFuture;
import org.hornbeamusher.holdings.EngineOrder;
import org.hornbeamusher.holdings.EngineReport;
import org.hornbeamusher.holdings.OrderAnswer;
import org.hornbeamusher.ids.EndpointId;
import org.hornbeamusher.ids.FencingNumber;

/**
 * The calls an agent makes to the engine beside it.
 *
 * <p>A call that the engine refuses with a time to come back fails with {@code ENDPOINT_BACKOFF},
 * which has that time.
 */
public interface EngineCalls {

  /**
   * Asks the engine what it holds.
   *
   * @return its report; fails while nothing answers
   */
  CompletableFuture<EngineReport> report();

  /**
   * Asks the engine for its id, which a report does not name.
   *
   * @return its id; a later life may have the same; fails while nothing answers
   */
  CompletableFuture<EndpointId> id();

  /**
   * Orders something.
   *
   * @param order the order
   * @param engine the engine that is meant; one with another id refuses the order
   * @param sequence how many orders it had accepted when this one was decided; it refuses the order
   *     if it has accepted others since
   * @param fencing the number of this agent
   * @return what the engine said; {@code UNKNOWN} when no answer was received
   */
  CompletableFuture<OrderAnswer> order(
      EngineOrder order, EndpointId engine, long sequence, FencingNumber fencing);
}

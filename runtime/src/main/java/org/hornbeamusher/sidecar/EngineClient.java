package org.hornbeamusher.sidecar;

import java.util.concurrent.CompletableFuture;
import org.hornbeamusher.holdings.EngineOrder;
import org.hornbeamusher.holdings.EngineReport;
import org.hornbeamusher.holdings.OrderResult;
import org.hornbeamusher.ids.EndpointId;
import org.hornbeamusher.ids.FencingNumber;

/**
 * The calls an agent makes to the engine beside it.
 *
 * <p>A call that the engine refuses with a Retry-After period fails with {@code ENDPOINT_BACKOFF},
 * which carries that period.
 */
public interface EngineClient {

  /**
   * Requests a report of the engine's state. Orders and requests for the id share no connection
   * with reports.
   *
   * @param mayReuseConnection whether the connection of the last report may be used; otherwise it
   *     is closed and a new one is opened
   * @return the report; fails while the engine does not answer
   */
  CompletableFuture<EngineReport> report(boolean mayReuseConnection);

  /**
   * Requests the engine's id, which a report does not contain.
   *
   * @return the id; a later incarnation may have the same; fails while the engine does not answer
   */
  CompletableFuture<EndpointId> id();

  /**
   * Sends an order.
   *
   * @param order the order
   * @param engine the intended engine; one with another id refuses the order
   * @param sequence the number of orders it had accepted when this one was decided; it refuses the
   *     order if it has accepted others since
   * @param fencing the fencing number of this agent
   * @return the result; {@code UNKNOWN} when no response was received
   */
  CompletableFuture<OrderResult> order(
      EngineOrder order, EndpointId engine, long sequence, FencingNumber fencing);
}

package org.hornbeamusher.agent;

import java.util.concurrent.CompletableFuture;
import org.hornbeamusher.events.EventLog;
import org.hornbeamusher.events.EventType;
import org.hornbeamusher.failure.HornbeamusherException;
import org.hornbeamusher.ids.FencingNumber;
import org.hornbeamusher.lease.FencingLease;

/**
 * The number that this agent's orders carry.
 *
 * <p>It is asked for once the engine has said which number it has seen. While the table does not
 * answer, one above that is used, so that loads go on, and the table is asked again with every look
 * at the engine.
 */
final class EngineFencing {

  private final FencingLease lease;
  private CompletableFuture<FencingNumber> number = new CompletableFuture<>();
  private boolean leased;
  private boolean asking;

  EngineFencing(FencingLease lease) {
    this.lease = lease;
  }

  /** Returns the number for the next order; completes once there is one. */
  synchronized CompletableFuture<FencingNumber> number() {
    return number;
  }

  /** Takes in the highest number that the engine has seen. */
  void observed(long seenByEngine) {
    synchronized (this) {
      if (leased || asking) {
        return;
      }
      asking = true;
    }
    lease
        .acquire(seenByEngine)
        .whenComplete((acquired, thrown) -> answered(acquired, thrown, seenByEngine));
  }

  private void answered(FencingNumber acquired, Throwable thrown, long seenByEngine) {
    CompletableFuture<FencingNumber> waiting;
    FencingNumber next;
    synchronized (this) {
      asking = false;
      leased = thrown == null;
      if (!leased && number.isDone()) {
        return;
      }
      next = leased ? acquired : new FencingNumber(seenByEngine + 1);
      waiting = number;
      number = CompletableFuture.completedFuture(next);
    }
    if (thrown != null) {
      EventLog.log(
          EventType.PLATFORM_OUTAGE,
          "call",
          "fencing number",
          "failure",
          HornbeamusherException.from(thrown).type());
    }
    waiting.complete(next);
  }
}

package org.hornbeamusher.agent;

import java.util.concurrent.CompletableFuture;
import org.hornbeamusher.events.EventLog;
import org.hornbeamusher.events.EventType;
import org.hornbeamusher.failure.HornbeamusherException;
import org.hornbeamusher.fencing.FencingNumberAllocator;
import org.hornbeamusher.ids.FencingNumber;

/**
 * Maintains the fencing number of this agent's orders.
 *
 * <p>The number is acquired once the engine has reported the highest number it has seen. While the
 * table is unavailable, one above that is used, so that loads continue, and acquisition is retried
 * with every state report of the engine.
 */
final class EngineFencing {

  private final FencingNumberAllocator lease;
  private CompletableFuture<FencingNumber> number = new CompletableFuture<>();
  private boolean leased;
  private boolean acquiring;

  EngineFencing(FencingNumberAllocator lease) {
    this.lease = lease;
  }

  /** Returns the number for the next order; completes once there is one. */
  synchronized CompletableFuture<FencingNumber> number() {
    return number;
  }

  /** Acquires a number, if none is acquired yet, above the highest that the engine has seen. */
  void engineStateReceived(long seenByEngine) {
    synchronized (this) {
      if (leased || acquiring) {
        return;
      }
      acquiring = true;
    }
    lease
        .acquire(seenByEngine)
        .whenComplete((acquired, thrown) -> acquireCompleted(acquired, thrown, seenByEngine));
  }

  private void acquireCompleted(FencingNumber acquired, Throwable thrown, long seenByEngine) {
    CompletableFuture<FencingNumber> waiting;
    FencingNumber next;
    synchronized (this) {
      acquiring = false;
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

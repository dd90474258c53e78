package org.hornbeamusher.sidecar;

import java.util.Optional;
import org.hornbeamusher.events.EventLog;
import org.hornbeamusher.events.EventType;
import org.hornbeamusher.failure.HornbeamusherException;
import org.hornbeamusher.fencing.FencingNumberAllocator;
import org.hornbeamusher.ids.FencingNumber;
import org.hornbeamusher.loop.EventLoop;

/**
 * Maintains the fencing number of an agent's orders.
 *
 * <p>The number is acquired from the table service. While that is unavailable at the start, numbers
 * begin at one and each refusal raises them until the engine accepts one. This is safe because only
 * one agent process runs beside an engine, and it is necessary because loads must continue. The
 * number from the table, once it answers, is above all numbers used before.
 */
final class FencingNumbers {

  private static final long RETRY_MILLIS = 1_000;

  private final FencingNumberAllocator lease;
  private final EventLoop loop;
  private long number = 1;
  private long increment = 1;
  private boolean confirmed;
  private boolean acquiring;

  /** Whether orders wait for the response of the table. */
  private boolean ordersHeld;

  private boolean retrying;

  FencingNumbers(FencingNumberAllocator lease, EventLoop loop) {
    this.lease = lease;
    this.loop = loop;
  }

  void start() {
    ordersHeld = true;
    acquire(number - 1);
  }

  /** Returns the current number; empty while orders wait for the table to answer or fail. */
  Optional<FencingNumber> current() {
    return acquiring && ordersHeld ? Optional.empty() : Optional.of(new FencingNumber(number));
  }

  /** Raises the number after the engine has refused it as too low. */
  void refused() {
    number += increment;
    increment *= 2;
    if (confirmed) {
      confirmed = false;
      ordersHeld = true;
      acquire(number - 1);
    }
  }

  /**
   * Raises the number after a restart of the engine, whose new incarnation has seen none. Orders
   * continue with it at once, also while the table is unavailable; the table is updated in
   * parallel.
   */
  void advance() {
    number++;
    confirmed = false;
    if (!acquiring) {
      acquire(number - 1);
    }
  }

  private void acquire(long used) {
    acquiring = true;
    lease
        .acquire(used)
        .whenComplete((acquired, thrown) -> loop.execute(() -> acquireCompleted(acquired, thrown)));
  }

  private void acquireCompleted(FencingNumber acquired, Throwable thrown) {
    acquiring = false;
    ordersHeld = false;
    if (thrown == null) {
      confirmed = acquired.value() >= number;
      number = Math.max(number, acquired.value());
      EventLog.log(EventType.FENCING_NUMBER_TAKEN, "number", acquired.value());
      if (!confirmed) {
        acquire(number - 1);
      }
      return;
    }
    EventLog.log(
        EventType.PLATFORM_OUTAGE,
        "table",
        "fencing",
        "reason",
        HornbeamusherException.from(thrown).type().label());
    if (!retrying) {
      retrying = true;
      loop.after(RETRY_MILLIS, this::retry);
    }
  }

  private void retry() {
    retrying = false;
    if (!confirmed && !acquiring) {
      acquire(number);
    }
  }
}

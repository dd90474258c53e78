package org.hornbeamusher.companion;

import java.util.Optional;
import org.hornbeamusher.events.EventLog;
import org.hornbeamusher.events.EventType;
import org.hornbeamusher.failure.HornbeamusherException;
import org.hornbeamusher.ids.FencingNumber;
import org.hornbeamusher.lease.FencingLease;
import org.hornbeamusher.loop.EventLoop;

/**
 * The fencing number of an agent's orders.
 *
 * <p>It is taken from the table service. While that is away at the start, orders are numbered from
 * one upwards: each refusal raises the number until the engine takes it, because loads must go on
 * and the one process in the slot beside the engine is the only one that orders it. The number from
 * the table, once it answers, is above all that was used.
 */
final class FencingNumbers {

  private static final long RETRY_MILLIS = 1_000;

  private final FencingLease lease;
  private final EventLoop loop;
  private long number = 1;
  private long step = 1;
  private boolean taken;
  private boolean asking;

  /** Whether orders wait for the answer of the table. */
  private boolean held;

  private boolean retrying;

  FencingNumbers(FencingLease lease, EventLoop loop) {
    this.lease = lease;
    this.loop = loop;
  }

  void start() {
    held = true;
    ask(number - 1);
  }

  /** Returns the number; empty until the table has answered or has failed once. */
  Optional<FencingNumber> current() {
    return asking && held ? Optional.empty() : Optional.of(new FencingNumber(number));
  }

  /** The engine has seen a higher number. */
  void refused() {
    number += step;
    step *= 2;
    if (taken) {
      taken = false;
      held = true;
      ask(number - 1);
    }
  }

  /**
   * The engine has started again and has seen no number. Orders go on with the next one at once,
   * also while the table is away; the table learns of it meanwhile.
   */
  void advance() {
    number++;
    taken = false;
    if (!asking) {
      ask(number - 1);
    }
  }

  private void ask(long used) {
    asking = true;
    lease
        .acquire(used)
        .whenComplete((acquired, thrown) -> loop.execute(() -> answered(acquired, thrown)));
  }

  private void answered(FencingNumber acquired, Throwable thrown) {
    asking = false;
    held = false;
    if (thrown == null) {
      taken = acquired.value() >= number;
      number = Math.max(number, acquired.value());
      EventLog.log(EventType.FENCING_NUMBER_TAKEN, "number", acquired.value());
      if (!taken) {
        ask(number - 1);
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
    if (!taken && !asking) {
      ask(number);
    }
  }
}

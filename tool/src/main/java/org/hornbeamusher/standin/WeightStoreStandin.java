package org.hornbeamusher.standin;

import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import org.hornbeamusher.clock.Clock;
import org.hornbeamusher.failure.FailureType;
import org.hornbeamusher.failure.HornbeamusherException;

/**
 * The weight store that all engines load from: one load at a time at full speed.
 *
 * <p>What completes when follows from the clock alone; a thread only looks at the clock.
 */
public final class WeightStoreStandin {

  /** Two loads a second, one after the other. */
  public static final long FULL_SPEED_MILLIS = 500;

  private static final long LOOK_MILLIS = 2;

  private final Clock clock;
  private final WeightTransfers transfers;
  private final Map<Long, CompletableFuture<Void>> waiting = new HashMap<>();
  private ScheduledExecutorService ticker;
  private boolean outage;
  private long nextId;
  private long begun;
  private long finished;
  private long refused;
  private int mostAtOnce;

  /**
   * Creates a store.
   *
   * @param clock decides when a transfer is complete
   * @param fullSpeedMillis how long one transfer alone takes
   */
  public WeightStoreStandin(Clock clock, long fullSpeedMillis) {
    this.clock = clock;
    this.transfers = new WeightTransfers(fullSpeedMillis);
  }

  /** Starts to look at the clock. */
  public synchronized void start() {
    ticker =
        Executors.newSingleThreadScheduledExecutor(
            Thread.ofPlatform().daemon().name("weight-store").factory());
    ticker.scheduleAtFixedRate(this::look, LOOK_MILLIS, LOOK_MILLIS, TimeUnit.MILLISECONDS);
  }

  /** Stops; transfers that are not complete never end. */
  public synchronized void stop() {
    ticker.shutdownNow();
  }

  /**
   * Transfers an adapter's weights.
   *
   * @param weights where they are
   * @return completes when they have arrived; fails with {@code LOAD_FAILED} in an outage
   */
  public synchronized CompletableFuture<Void> fetch(String weights) {
    begun++;
    CompletableFuture<Void> arrival = new CompletableFuture<>();
    if (outage) {
      refused++;
      arrival.completeExceptionally(
          HornbeamusherException.notRun(FailureType.LOAD_FAILED, weights));
      return arrival;
    }
    long id = nextId++;
    waiting.put(id, arrival);
    transfers.begin(id, clock.millis());
    mostAtOnce = Math.max(mostAtOnce, transfers.active());
    return arrival;
  }

  /**
   * Begins or ends an outage; transfers under way go on.
   *
   * @param down whether new transfers fail
   */
  public synchronized void outage(boolean down) {
    outage = down;
  }

  /**
   * Slows the store.
   *
   * @param factor how many times longer a transfer takes; 1 is normal
   */
  public synchronized void slowdown(double factor) {
    transfers.slowdown(factor);
  }

  /**
   * Returns what was counted.
   *
   * @return the counts so far
   */
  public synchronized Counts counts() {
    return new Counts(begun, finished, refused, mostAtOnce);
  }

  private void look() {
    synchronized (this) {
      for (long id : transfers.completed(clock.millis())) {
        finished++;
        CompletableFuture<Void> arrival = waiting.remove(id);
        arrival.completeAsync(() -> null, ticker);
      }
    }
  }

  /**
   * Counts of a weight store.
   *
   * @param begun transfers asked for
   * @param finished transfers completed
   * @param refused transfers refused in an outage
   * @param mostAtOnce most transfers under way at once
   */
  public record Counts(long begun, long finished, long refused, int mostAtOnce) {}
}

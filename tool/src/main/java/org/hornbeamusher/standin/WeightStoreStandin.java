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
 * Stand-in of the weight store that engines load from: a single load runs at full speed, concurrent
 * loads share a lower total speed.
 *
 * <p>When a transfer completes depends on the clock alone; a thread polls the clock.
 */
public final class WeightStoreStandin {

  /** Default duration of a load; allows two sequential loads per second. */
  public static final long DEFAULT_TRANSFER_MILLIS = 500;

  private static final long POLL_INTERVAL_MILLIS = 2;

  private final Clock clock;
  private final WeightTransfers transfers;
  private final Map<Long, CompletableFuture<Void>> pendingTransfers = new HashMap<>();
  private ScheduledExecutorService ticker;
  private boolean outage;
  private long nextId;
  private long requested;
  private long completed;
  private long refused;
  private int maxConcurrent;

  /**
   * Creates a store.
   *
   * @param clock determines when a transfer is complete
   * @param fullSpeedMillis duration of a transfer when no other transfer runs
   */
  public WeightStoreStandin(Clock clock, long fullSpeedMillis) {
    this.clock = clock;
    this.transfers = new WeightTransfers(fullSpeedMillis);
  }

  /** Starts polling the clock. */
  public synchronized void start() {
    ticker =
        Executors.newSingleThreadScheduledExecutor(
            Thread.ofPlatform().daemon().name("weight-store").factory());
    ticker.scheduleAtFixedRate(
        this::poll, POLL_INTERVAL_MILLIS, POLL_INTERVAL_MILLIS, TimeUnit.MILLISECONDS);
  }

  /** Stops; transfers in progress never complete. */
  public synchronized void stop() {
    ticker.shutdownNow();
  }

  /**
   * Transfers an adapter's weights.
   *
   * @param weights location of the weights
   * @return completes when the transfer is complete; fails with {@code LOAD_FAILED} during an
   *     outage
   */
  public synchronized CompletableFuture<Void> fetch(String weights) {
    requested++;
    CompletableFuture<Void> arrival = new CompletableFuture<>();
    if (outage) {
      refused++;
      arrival.completeExceptionally(
          HornbeamusherException.notRun(FailureType.LOAD_FAILED, weights));
      return arrival;
    }
    long id = nextId++;
    pendingTransfers.put(id, arrival);
    transfers.begin(id, clock.millis());
    maxConcurrent = Math.max(maxConcurrent, transfers.activeCount());
    return arrival;
  }

  /**
   * Begins or ends an outage; transfers in progress continue.
   *
   * @param down whether new transfers fail
   */
  public synchronized void setOutage(boolean down) {
    outage = down;
  }

  /**
   * Slows all transfers down.
   *
   * @param factor how many times longer a transfer takes; 1 is normal
   */
  public synchronized void setSlowdown(double factor) {
    transfers.setSlowdown(factor);
  }

  /**
   * Returns the counters.
   *
   * @return the current counts
   */
  public synchronized Counts counts() {
    return new Counts(requested, completed, refused, maxConcurrent);
  }

  private void poll() {
    synchronized (this) {
      for (long id : transfers.advanceTo(clock.millis())) {
        completed++;
        CompletableFuture<Void> arrival = pendingTransfers.remove(id);
        arrival.completeAsync(() -> null, ticker);
      }
    }
  }

  /**
   * Counters of a weight store.
   *
   * @param requested transfers requested
   * @param completed transfers completed
   * @param refused transfers refused during an outage
   * @param maxConcurrent maximum number of concurrent transfers
   */
  public record Counts(long requested, long completed, long refused, int maxConcurrent) {}
}

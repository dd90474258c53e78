package org.hornbeamusher.memory;

import java.util.Optional;
import java.util.concurrent.atomic.AtomicLong;

/**
 * Bounds the memory that a process holds for its callers: heads and bodies of requests, and parts
 * of responses that their callers have not read.
 *
 * <p>A new request reserves memory for its head and its body before the body is read. It is refused
 * if the reservation exceeds the capacity. An accepted request is never dropped, so what its
 * response adds is always counted, beyond the capacity too. Each response is bounded by itself: its
 * endpoint is read no faster than its caller reads. While memory is scarce, that bound is lower, so
 * that many callers that do not read cannot fill the memory together.
 *
 * <p>Safe for use by several threads.
 */
public final class MemoryBudget {

  /** The rest of the heap is for connections, for state and for garbage. */
  private static final double HEAP_FRACTION = 0.4;

  private static final double SCARCE_FRACTION = 0.5;

  private final long capacityBytes;
  private final AtomicLong usedBytes = new AtomicLong();

  /**
   * Creates an unused budget.
   *
   * @param capacityBytes what new requests may use together
   */
  public MemoryBudget(long capacityBytes) {
    this.capacityBytes = capacityBytes;
  }

  /**
   * Creates a budget of a fixed fraction of the maximum heap of this process.
   *
   * @return an unused budget
   */
  public static MemoryBudget ofHeap() {
    return new MemoryBudget((long) (Runtime.getRuntime().maxMemory() * HEAP_FRACTION));
  }

  /**
   * Reserves memory for a new request.
   *
   * @param bytes what it needs
   * @return the reservation; empty if it exceeds the capacity
   */
  public Optional<MemoryReservation> tryReserve(long bytes) {
    return tryAdd(bytes) ? Optional.of(new MemoryReservation(this, bytes)) : Optional.empty();
  }

  /**
   * Creates a reservation that is never refused, for the response to a request that was.
   *
   * @return a reservation of nothing
   */
  public MemoryReservation reserveNothing() {
    return new MemoryReservation(this, 0);
  }

  /**
   * Returns whether most of the capacity is used, so that each response may hold less.
   *
   * @return true beyond half of the capacity
   */
  public boolean isScarce() {
    return usedBytes.get() > capacityBytes * SCARCE_FRACTION;
  }

  /**
   * Returns the memory in use.
   *
   * @return bytes
   */
  public long usedBytes() {
    return usedBytes.get();
  }

  /**
   * Returns the capacity.
   *
   * @return bytes
   */
  public long capacityBytes() {
    return capacityBytes;
  }

  boolean tryAdd(long bytes) {
    if (usedBytes.addAndGet(bytes) <= capacityBytes) {
      return true;
    }
    usedBytes.addAndGet(-bytes);
    return false;
  }

  void add(long bytes) {
    usedBytes.addAndGet(bytes);
  }
}

package org.hornbeamusher.http;

import java.util.concurrent.atomic.AtomicLong;

/**
 * Bounds the heads, sizes of chunks and trailers that all connections of a client hold together.
 *
 * <p>The client library stores a head as objects for each header, which take many times the bytes
 * that were received. The limit of one connection alone would let a few dozen servers fill the heap
 * together.
 *
 * <p>Each connection may hold a small number of bytes in any case, and beyond it up to half of what
 * the others leave. So a server that sends without end leaves room for the next one, and while the
 * budget is used up, responses with usual heads are still received.
 *
 * <p>Safe for use by several threads.
 */
final class FramingBudget {

  /** What a connection may hold while the budget is used up; more than a usual head. */
  static final int MIN_BYTES = 2 * 1024;

  /** What a byte of short headers takes on the heap at most, as name, value and table entries. */
  private static final int HEAP_BYTES_PER_BYTE = 32;

  private static final double HEAP_FRACTION = 0.125;

  private final long capacityBytes;
  private final AtomicLong usedBytes = new AtomicLong();

  /**
   * Creates an unused budget.
   *
   * @param capacityBytes what connections may hold together, each beyond {@link #MIN_BYTES}
   */
  FramingBudget(long capacityBytes) {
    this.capacityBytes = capacityBytes;
  }

  /** Creates a budget for a fixed fraction of the maximum heap of this process. */
  static FramingBudget ofHeap() {
    double bytes = Runtime.getRuntime().maxMemory() * HEAP_FRACTION / HEAP_BYTES_PER_BYTE;
    return new FramingBudget((long) bytes);
  }

  /**
   * Records that a connection holds another number of bytes.
   *
   * @param before the bytes that it held
   * @param now the bytes that it holds
   */
  void changed(long before, long now) {
    long change = counted(now) - counted(before);
    if (change != 0) {
      usedBytes.addAndGet(change);
    }
  }

  /** Returns how many bytes a connection may hold that holds the given number now. */
  long limitBytes(long held) {
    long leftByOthers = capacityBytes - usedBytes.get() + counted(held);
    return Math.max(MIN_BYTES, leftByOthers / 2);
  }

  /** Returns what connections hold together, each beyond {@link #MIN_BYTES}. */
  long usedBytes() {
    return usedBytes.get();
  }

  private static long counted(long bytes) {
    return Math.max(0, bytes - MIN_BYTES);
  }
}

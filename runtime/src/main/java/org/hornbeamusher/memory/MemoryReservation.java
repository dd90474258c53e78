package org.hornbeamusher.memory;

/** The memory that one request holds of a {@link MemoryBudget}. Used by one thread at a time. */
public final class MemoryReservation {

  private final MemoryBudget budget;
  private long requestBytes;
  private long responseBytes;
  private boolean released;

  MemoryReservation(MemoryBudget budget, long requestBytes) {
    this.budget = budget;
    this.requestBytes = requestBytes;
  }

  /**
   * Extends the reservation, for a body of unknown length.
   *
   * @param bytes what is needed in addition
   * @return false if that exceeds the capacity; nothing is then reserved in addition
   */
  public boolean tryExtend(long bytes) {
    if (released || !budget.tryAdd(bytes)) {
      return false;
    }
    requestBytes += bytes;
    return true;
  }

  /**
   * Sets how much of the response is held, which is never refused.
   *
   * @param bytes buffered or unwritten bytes
   */
  public void setResponseBytes(long bytes) {
    if (!released && bytes != responseBytes) {
      budget.add(bytes - responseBytes);
      responseBytes = bytes;
    }
  }

  /**
   * Returns whether the memory of the process is scarce.
   *
   * @return what {@link MemoryBudget#isScarce} returns
   */
  public boolean isScarce() {
    return budget.isScarce();
  }

  /** Releases everything; further calls have no effect. */
  public void release() {
    if (!released) {
      released = true;
      budget.add(-requestBytes - responseBytes);
    }
  }
}

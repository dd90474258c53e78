package org.hornbeamusher.pacing;

/** Whether an agent that paces itself may load. */
public sealed interface PaceDecision {

  /** It may load one adapter now. */
  record Go() implements PaceDecision {}

  /**
   * It may not yet.
   *
   * @param untilMillis when to ask again
   */
  record Wait(long untilMillis) implements PaceDecision {}
}

package org.hornbeamusher.pacing;

/** Whether an agent that paces itself may start a load. */
public sealed interface PaceDecision {

  /** The agent may load one adapter now. */
  record Proceed() implements PaceDecision {}

  /**
   * The agent must not start a load yet.
   *
   * @param untilMillis when to try again
   */
  record Wait(long untilMillis) implements PaceDecision {}
}

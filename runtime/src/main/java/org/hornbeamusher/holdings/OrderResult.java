package org.hornbeamusher.holdings;

/** The result of an order to an engine. */
public enum OrderResult {
  /** The engine executes the order. */
  ACCEPTED,
  /** The engine was already in the ordered state. */
  HELD_ALREADY,
  /** The engine has accepted other orders than this process knows of, or is executing one. */
  CONFLICT,
  /** The engine has seen a higher fencing number. */
  STALE,
  /** Another incarnation of the engine, or another endpoint, is at the address. */
  OTHER_ENDPOINT,
  /** The engine does not accept an order of this kind. */
  INVALID,
  /** No response; the order may have been accepted, or may still be. */
  UNKNOWN
}

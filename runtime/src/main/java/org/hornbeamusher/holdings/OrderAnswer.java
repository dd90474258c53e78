package org.hornbeamusher.holdings;

/** What became of an order. */
public enum OrderAnswer {
  /** The engine carries it out. */
  ACCEPTED,
  /** It was so already. */
  HELD_ALREADY,
  /** The engine has taken other orders than this process believes, or is busy with one. */
  CONFLICT,
  /** A higher fencing number was used. */
  STALE,
  /** Another life of the engine, or another endpoint, is at the address. */
  OTHER_ENDPOINT,
  /** The engine does not take such an order. */
  INVALID,
  /** No answer; it may have been accepted, or may be later. */
  UNKNOWN
}

package org.hornbeamusher.failure;

/** How urgently an operator has to look at a failure. */
public enum Severity {
  /** Normal operation; the other side requested something that it cannot have. */
  INFO,
  /** Service is degraded; an operator has to look at it in working hours. */
  WARNING,
  /** A guarantee is at risk; an operator has to look at it immediately. */
  ERROR
}

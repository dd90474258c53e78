package org.hornbeamusher.failure;

/** How much attention a failure asks for. */
public enum Severity {
  /** Ordinary operation; the other side asked for something it cannot have. */
  INFO,
  /** Service is reduced; an operator looks at it in working hours. */
  WARNING,
  /** A promise is at risk; an operator looks at it now. */
  ERROR
}

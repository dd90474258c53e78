package org.hornbeamusher.forecast;

/** What a request may have to wait for. */
public enum Capacity {
  /** A slot of an engine for an adapter that is not loaded. */
  ADAPTER_SLOT,
  /** A slot of an endpoint for one more running request. */
  REQUEST_SLOT
}

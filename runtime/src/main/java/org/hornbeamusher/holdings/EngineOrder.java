package org.hornbeamusher.holdings;

import org.hornbeamusher.routes.AdapterKey;

/** An order to an engine: load or unload an adapter. */
public sealed interface EngineOrder {

  /**
   * Returns the adapter or base model that the order applies to.
   *
   * @return an adapter or a base model
   */
  AdapterKey key();

  /**
   * Loads an adapter or a base model, or replaces it by its newest version.
   *
   * @param key an adapter or a base model
   */
  record Load(AdapterKey key) implements EngineOrder {}

  /**
   * Unloads an adapter.
   *
   * @param key an adapter
   */
  record Unload(AdapterKey key) implements EngineOrder {}
}
